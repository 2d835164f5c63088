/** Wire format of the worker API: heartbeats in, commands out. Only this module contains its field names. */
import type { ExitReason, Heartbeat, ReportedTask, TaskStage, WorkerCommand } from '../core/types.js';
import {
  asObject,
  isNonNegativeInteger,
  isBoolean,
  isNonEmptyString,
  isNonNegativeNumber,
} from '../core/values.js';

const STAGES = new Map<unknown, TaskStage>([
  ['pulling', 'fetching'],
  ['running', 'running'],
  ['waiting', 'running'],
  ['flushing', 'saving'],
  ['ended', 'exited'],
]);

const EXITS = new Map<unknown, ExitReason>([
  ['done', 'done'],
  ['halted', 'stopped'],
  ['peers', 'stopped'],
  ['alone', 'stopped'],
  ['error', 'error'],
  ['full', 'no_room'],
  ['in_use', 'busy'],
  ['no_such', 'unknown'],
]);

/** Splits `req-000412/3` into job and task number. */
export function parseTaskName(name: unknown): { job: string; task: number } | null {
  if (typeof name !== 'string') return null;
  const slash = name.lastIndexOf('/');
  const task = Number(name.slice(slash + 1));
  if (slash < 1 || slash === name.length - 1 || !Number.isSafeInteger(task) || task < 0) return null;
  return { job: name.slice(0, slash), task };
}

function parseTask(body: unknown): ReportedTask | null {
  const raw = asObject(body);
  if (raw === null) return null;
  const name = parseTaskName(raw['movement']);
  const stage = STAGES.get(raw['stage']);
  if (name === null || stage === undefined || !isNonNegativeInteger(raw['take'])) return null;
  // An exit with a reason that this version does not know is still an exit, and counts as an error.
  const exit = stage === 'exited' ? (EXITS.get(raw['cadence']) ?? 'error') : null;
  return { job: name.job, task: name.task, attempt: raw['take'], stage, exit };
}

/** Reads a worker's heartbeat; `null` if any part of it is malformed. */
export function parseHeartbeat(body: unknown): Heartbeat | null {
  const raw = asObject(body);
  if (raw === null) return null;
  const { skiff, address, bench, hall, borrowed, watch, barNo, baton } = raw;
  const notice = raw['recallS'] ?? null;
  if (
    !isNonEmptyString(skiff) ||
    !isNonEmptyString(address) ||
    !isNonEmptyString(bench) ||
    !isNonEmptyString(hall)
  )
    return null;
  if (
    !isBoolean(borrowed) ||
    !isNonNegativeInteger(watch) ||
    !isNonNegativeInteger(barNo) ||
    !isNonNegativeInteger(baton)
  )
    return null;
  if (notice !== null && !isNonNegativeNumber(notice)) return null;
  const listed = raw['movements'] ?? [];
  if (!Array.isArray(listed)) return null;
  const tasks: ReportedTask[] = [];
  for (const entry of listed as unknown[]) {
    const task = parseTask(entry);
    if (task === null) return null;
    tasks.push(task);
  }
  return {
    machine: skiff,
    address,
    type: bench,
    zone: hall,
    spot: borrowed,
    agentEpoch: watch,
    sequence: barNo,
    token: baton,
    terminationNoticeS: notice,
    tasks,
  };
}

function encodeCommand(command: WorkerCommand): object {
  const movement = `${command.job}/${command.task}`;
  switch (command.op) {
    case 'start':
      return { cue: 'start', movement, take: command.attempt };
    case 'stop':
      return { cue: 'halt', movement, take: command.attempt, fermataS: command.graceS };
    case 'forget':
      return { cue: 'reap', movement, take: command.attempt };
  }
}

/** Encodes the response to a heartbeat: the leader's fencing token and commands. */
export function encodeReply(token: number, commands: readonly WorkerCommand[]): string {
  return JSON.stringify({ baton: token, cues: commands.map(encodeCommand) });
}

/** Encodes commands sent directly to a worker, valid for one agent epoch. */
export function encodeDirectCommands(
  token: number,
  agentEpoch: number,
  commands: readonly WorkerCommand[],
): string {
  return JSON.stringify({ baton: token, watch: agentEpoch, cues: commands.map(encodeCommand) });
}

/** Encodes a redirect of a worker to another controller; the object is empty if `null` is passed. */
export function encodeRedirect(controller: string | null): string {
  return JSON.stringify(controller === null ? {} : { conductor: controller });
}
