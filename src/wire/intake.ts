/**
 * Messages between a leader and the followers that accept heartbeats for it: protobuf messages in a field of the
 * frames between controllers. Versions before heartbeat sharing skip that field.
 */
import protobuf from 'protobufjs/light.js';
import type { Keepalive } from '../core/fleet/index.js';
import type { ExitReason, Heartbeat, ReportedTask, TaskStage, WorkerCommand } from '../core/types.js';

interface Envelope {
  /** Name of the sender, its incarnation, and the term that the message belongs to. */
  readonly node: string;
  readonly incarnation: string;
  readonly term: number;
  /** Time of sending in milliseconds since the Unix epoch, from which the receiver derives the message's age. */
  readonly sentAt: number;
}

/** A heartbeat that a follower forwards to the leader for an answer. */
export interface ForwardedHeartbeat {
  readonly reference: number;
  readonly heartbeat: Heartbeat;
}

/** Sent by a follower: heartbeats for the leader to answer, and keepalives for heartbeats without news. */
export interface HeartbeatsMessage extends Envelope {
  readonly kind: 'heartbeats';
  readonly heartbeats: readonly ForwardedHeartbeat[];
  readonly keepalives: readonly Keepalive[];
}

/** The leader's answer to a forwarded heartbeat. */
export interface ForwardedAnswer {
  readonly reference: number;
  /** Whether the leader accepted the heartbeat; false: the leader may not answer it now. */
  readonly isAccepted: boolean;
  /** Whether the leader has more commands for the machine, so that its next heartbeat must be forwarded, too. */
  readonly needsAttention: boolean;
  readonly commands: readonly WorkerCommand[];
  /** Under what condition the receiver passes on starts; absent: none of the commands is a start. */
  readonly startLease?: ForwardedStartLease;
}

/** The condition under which starts in a forwarded answer may be passed on. */
interface ForwardedStartLease {
  /** For how long they may be passed on after the message was sent, in milliseconds; at least 1. */
  readonly remainingMs: number;
  /** Revision up to which the view of the jobs was complete on which they were decided. */
  readonly viewRevision: number;
}

/** How many workers a follower should redirect to another controller. */
export interface RedirectQuota {
  readonly to: string;
  readonly count: number;
}

/** Sent by the leader: answers to heartbeats, and the machines whose next heartbeat must be forwarded. */
export interface AnswersMessage extends Envelope {
  readonly kind: 'answers';
  readonly answers: readonly ForwardedAnswer[];
  /**
   * Incarnation of the follower that forwarded the answered heartbeats; empty: there are no answers, or the leader is
   * of a version that does not state it. References mean nothing to another incarnation.
   */
  readonly addressee: string;
  /** Sequence number of the leader's messages to this follower; after a gap the follower waits for a snapshot. */
  readonly number: number;
  /** Machines whose next heartbeat must be forwarded: all of them in a snapshot, otherwise only those added. */
  readonly attention: readonly string[];
  readonly isSnapshot: boolean;
  /**
   * In a snapshot: whether followers should accept heartbeats, and the time of the read that confirmed the leader's
   * view, in milliseconds since the Unix epoch (0: not confirmed).
   */
  readonly isSharing: boolean;
  readonly viewConfirmedAt: number;
  readonly redirect: RedirectQuota | null;
}

/** A message in either direction. */
export type IntakeMessage = HeartbeatsMessage | AnswersMessage;

const STAGES: readonly TaskStage[] = ['fetching', 'running', 'saving', 'exited'];
const EXITS: readonly ExitReason[] = ['done', 'stopped', 'error', 'no_room', 'busy', 'unknown'];
const OPERATIONS = ['start', 'stop', 'forget'] as const;

/** Protobuf types of these messages, nested in the same namespace as the types of the peers' status. */
export const INTAKE_TYPES: Record<string, protobuf.IType> = {
  IntakeTask: {
    fields: {
      job: { type: 'string', id: 1 },
      task: { type: 'uint32', id: 2 },
      attempt: { type: 'uint32', id: 3 },
      stage: { type: 'uint32', id: 4 },
      // Index of the exit reason in `EXITS` plus one; 0: none.
      exit: { type: 'uint32', id: 5 },
    },
  },
  IntakeForwardedHeartbeat: {
    fields: {
      reference: { type: 'uint32', id: 1 },
      machine: { type: 'string', id: 2 },
      address: { type: 'string', id: 3 },
      type: { type: 'string', id: 4 },
      zone: { type: 'string', id: 5 },
      spot: { type: 'bool', id: 6 },
      agentEpoch: { type: 'double', id: 7 },
      sequence: { type: 'double', id: 8 },
      token: { type: 'double', id: 9 },
      hasNotice: { type: 'bool', id: 10 },
      terminationNoticeS: { type: 'double', id: 11 },
      tasks: { rule: 'repeated', type: 'IntakeTask', id: 12 },
    },
  },
  IntakeKeepalive: {
    fields: {
      machine: { type: 'string', id: 1 },
      agentEpoch: { type: 'double', id: 2 },
      sequence: { type: 'double', id: 3 },
      ageMs: { type: 'uint32', id: 4 },
    },
  },
  IntakeCommand: {
    fields: {
      operation: { type: 'uint32', id: 1 },
      job: { type: 'string', id: 2 },
      task: { type: 'uint32', id: 3 },
      attempt: { type: 'uint32', id: 4 },
      graceS: { type: 'double', id: 5 },
    },
  },
  IntakeAnswer: {
    fields: {
      reference: { type: 'uint32', id: 1 },
      isAccepted: { type: 'bool', id: 2 },
      needsAttention: { type: 'bool', id: 3 },
      commands: { rule: 'repeated', type: 'IntakeCommand', id: 4 },
      // Versions before the start fence omit these fields; 0: no lease is stated.
      startsRemainingMs: { type: 'uint32', id: 5 },
      startsViewRevision: { type: 'double', id: 6 },
    },
  },
  Intake: {
    fields: {
      node: { type: 'string', id: 1 },
      incarnation: { type: 'string', id: 2 },
      term: { type: 'double', id: 3 },
      sentAt: { type: 'double', id: 4 },
      fromLeader: { type: 'bool', id: 5 },
      heartbeats: { rule: 'repeated', type: 'IntakeForwardedHeartbeat', id: 6 },
      keepalives: { rule: 'repeated', type: 'IntakeKeepalive', id: 7 },
      answers: { rule: 'repeated', type: 'IntakeAnswer', id: 8 },
      number: { type: 'uint32', id: 9 },
      attention: { rule: 'repeated', type: 'string', id: 10 },
      isSnapshot: { type: 'bool', id: 11 },
      isSharing: { type: 'bool', id: 12 },
      viewConfirmedAt: { type: 'double', id: 13 },
      redirectTo: { type: 'string', id: 14 },
      redirectCount: { type: 'uint32', id: 15 },
      // Versions before this field omit it when sending and skip it when reading.
      addressee: { type: 'string', id: 16 },
    },
  },
};

interface WireTask {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly stage: number;
  readonly exit: number;
}
interface WireHeartbeat extends Omit<Heartbeat, 'terminationNoticeS' | 'tasks'> {
  readonly reference: number;
  readonly hasNotice: boolean;
  readonly terminationNoticeS: number;
  readonly tasks: readonly WireTask[];
}
interface WireCommand {
  readonly operation: number;
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly graceS: number;
}

interface WireAnswer extends Omit<ForwardedAnswer, 'commands' | 'startLease'> {
  readonly commands: readonly WireCommand[];
  readonly startsRemainingMs: number;
  readonly startsViewRevision: number;
}

/** A message as decoded by protobuf; missing fields have their default values. */
export interface WireIntake extends Envelope {
  readonly fromLeader: boolean;
  readonly heartbeats: readonly WireHeartbeat[];
  readonly keepalives: readonly Keepalive[];
  readonly answers: readonly WireAnswer[];
  readonly number: number;
  readonly attention: readonly string[];
  readonly isSnapshot: boolean;
  readonly isSharing: boolean;
  readonly viewConfirmedAt: number;
  readonly redirectTo: string;
  readonly redirectCount: number;
  readonly addressee: string;
}

const taskToWire = ({ job, task, attempt, stage, exit }: ReportedTask): WireTask => ({
  job,
  task,
  attempt,
  stage: STAGES.indexOf(stage),
  exit: exit === null ? 0 : EXITS.indexOf(exit) + 1,
});

function taskFromWire({ job, task, attempt, stage, exit }: WireTask): ReportedTask {
  const knownStage = STAGES[stage] ?? 'running';
  return {
    job,
    task,
    attempt,
    stage: knownStage,
    exit: knownStage === 'exited' ? (EXITS[exit - 1] ?? 'error') : null,
  };
}

const commandToWire = (command: WorkerCommand): WireCommand => ({
  operation: OPERATIONS.indexOf(command.op),
  job: command.job,
  task: command.task,
  attempt: command.attempt,
  graceS: command.op === 'stop' ? command.graceS : 0,
});

function commandFromWire({ operation, job, task, attempt, graceS }: WireCommand): WorkerCommand[] {
  const op = OPERATIONS[operation];
  if (op === undefined) return [];
  return [op === 'stop' ? { op, job, task, attempt, graceS } : { op, job, task, attempt }];
}

const answerToWire = ({ startLease, commands, ...answer }: ForwardedAnswer): object => ({
  ...answer,
  commands: commands.map(commandToWire),
  ...(startLease === undefined
    ? {}
    : { startsRemainingMs: startLease.remainingMs, startsViewRevision: startLease.viewRevision }),
});

function answerFromWire({
  startsRemainingMs,
  startsViewRevision,
  commands,
  ...answer
}: WireAnswer): ForwardedAnswer {
  const startLease = { remainingMs: startsRemainingMs, viewRevision: startsViewRevision };
  return {
    ...answer,
    commands: commands.flatMap(commandFromWire),
    ...(startsRemainingMs === 0 ? {} : { startLease }),
  };
}

/** Upper bound of the bytes of an answer besides its commands. */
const ANSWER_OVERHEAD_BYTES = 40;
/** Upper bound of the bytes of a command besides its job's id. */
const COMMAND_OVERHEAD_BYTES = 36;

/** Upper bound of the bytes that an answer takes in a message. */
export const answerBytes = ({ commands }: Pick<ForwardedAnswer, 'commands'>): number =>
  commands.reduce(
    (bytes, { job }) => bytes + Buffer.byteLength(job) + COMMAND_OVERHEAD_BYTES,
    ANSWER_OVERHEAD_BYTES,
  );

/** Upper bound of the bytes that answers take in a message. */
export const answersBytes = (answers: readonly Pick<ForwardedAnswer, 'commands'>[]): number =>
  answers.reduce((bytes, answer) => bytes + answerBytes(answer), 0);

/** Upper bound of the bytes of a forwarded heartbeat besides its names and tasks. */
const HEARTBEAT_OVERHEAD_BYTES = 120;
/** Upper bound of the bytes of a task in it besides its job's id. */
const TASK_OVERHEAD_BYTES = 28;

/** Upper bound of the bytes that a forwarded heartbeat takes in a message. */
export function forwardedHeartbeatBytes({ machine, address, type, zone, tasks }: Heartbeat): number {
  let bytes = HEARTBEAT_OVERHEAD_BYTES;
  for (const name of [machine, address, type, zone]) bytes += Buffer.byteLength(name);
  for (const { job } of tasks) bytes += Buffer.byteLength(job) + TASK_OVERHEAD_BYTES;
  return bytes;
}

/** Converts a message to the form that protobuf encodes. */
export function intakeToWire(message: IntakeMessage): object {
  const { kind, ...rest } = message;
  if (kind === 'heartbeats')
    return {
      ...rest,
      fromLeader: false,
      heartbeats: message.heartbeats.map(({ reference, heartbeat }) => ({
        ...heartbeat,
        reference,
        hasNotice: heartbeat.terminationNoticeS !== null,
        terminationNoticeS: heartbeat.terminationNoticeS ?? 0,
        tasks: heartbeat.tasks.map(taskToWire),
      })),
    };
  const { addressee, ...others } = message;
  return {
    ...others,
    ...(addressee === '' ? {} : { addressee }),
    fromLeader: true,
    answers: message.answers.map(answerToWire),
    redirectTo: message.redirect?.to ?? '',
    redirectCount: message.redirect?.count ?? 0,
  };
}

/** Converts a message that protobuf has decoded. */
export function intakeFromWire(wire: WireIntake): IntakeMessage {
  const { node, incarnation, term, sentAt } = wire;
  const envelope = { node, incarnation, term, sentAt };
  if (!wire.fromLeader)
    return {
      kind: 'heartbeats',
      ...envelope,
      keepalives: wire.keepalives,
      heartbeats: wire.heartbeats.map(
        ({ reference, hasNotice, terminationNoticeS, tasks, ...heartbeat }) => ({
          reference,
          heartbeat: {
            ...heartbeat,
            terminationNoticeS: hasNotice ? terminationNoticeS : null,
            tasks: tasks.map(taskFromWire),
          },
        }),
      ),
    };
  return {
    kind: 'answers',
    ...envelope,
    answers: wire.answers.map(answerFromWire),
    addressee: wire.addressee,
    number: wire.number,
    attention: wire.attention,
    isSnapshot: wire.isSnapshot,
    isSharing: wire.isSharing,
    viewConfirmedAt: wire.viewConfirmedAt,
    redirect: wire.redirectTo === '' ? null : { to: wire.redirectTo, count: wire.redirectCount },
  };
}
