/**
 * Limits on the size of messages, and upper bounds of what their parts take in the encodings of `wire/`, in bytes.
 */
import type { JobSpec, ReportedTask, WorkerCommand } from './types.js';

/** Maximum size of a request's body, and of a line in a response to workers or users. */
export const MAX_MESSAGE_BYTES = 64 * 1024;

/** What a message may contain besides its tasks or commands: names, addresses, numbers. */
const ENVELOPE_BYTES = 1024;
/** A task in a heartbeat, besides its names and numbers, in its longest stage and with spaces between the fields. */
const REPORTED_TASK_BYTES = 96;
/** Digits of a task number; a job has at most 100,000 tasks. */
const MAX_TASK_DIGITS = 5;
/** Digits of an attempt number. */
const MAX_ATTEMPT_DIGITS = 10;
/** Quotation marks and separator of a text in a list. */
const LIST_SEPARATOR_BYTES = 3;
/** A command to a worker, besides its names and numbers. */
const COMMAND_BYTES = 64;

/** Bytes that the list in a message may take: tasks, commands or names. */
export const MAX_LIST_BYTES = MAX_MESSAGE_BYTES - ENVELOPE_BYTES;

/** Size of a text in JSON, without the quotation marks. */
const jsonTextBytes = (text: string): number => Buffer.byteLength(JSON.stringify(text)) - 2;

const digits = (value: number): number => String(value).length;

/** Bytes that the task of any job takes at least. */
export const MIN_TASK_HEARTBEAT_BYTES = REPORTED_TASK_BYTES + MAX_TASK_DIGITS + MAX_ATTEMPT_DIGITS;

/** Bytes that any task of a job takes in a heartbeat, whatever its stage and attempt. */
export const heartbeatBytesPerTask = ({ id }: JobSpec): number => MIN_TASK_HEARTBEAT_BYTES + id.length;

/** Bytes that a reported task takes in a heartbeat at most, in any later stage. */
export const reportedTaskBytes = ({ job, task, attempt }: ReportedTask): number =>
  REPORTED_TASK_BYTES + jsonTextBytes(job) + digits(task) + digits(attempt);

/** Bytes that a name takes in a list. */
export const listedNameBytes = (name: string): number => jsonTextBytes(name) + LIST_SEPARATOR_BYTES;

/** Bytes that a command takes in a message to a worker. */
export function commandBytes(command: WorkerCommand): number {
  const { job, task, attempt } = command;
  const graceBytes = command.op === 'stop' ? digits(command.graceS) : 0;
  return COMMAND_BYTES + jsonTextBytes(job) + digits(task) + digits(attempt) + graceBytes;
}

/** How many of the items, from the first, fit into `maxBytes`; at least one, unless there is none. */
export function countWithin<T>(items: readonly T[], bytesOf: (item: T) => number, maxBytes: number): number {
  let bytes = 0;
  let count = 0;
  for (const item of items) {
    bytes += bytesOf(item);
    if (count > 0 && bytes > maxBytes) break;
    count += 1;
  }
  return count;
}

/** Order of commands when not all fit into one message: stops free resources, starts take them. */
const COMMAND_ORDER: readonly WorkerCommand['op'][] = ['stop', 'forget', 'start'];

/**
 * The commands that fit into one message to a worker; the others have to be sent with a later one. If some do not fit,
 * stops come first and starts last.
 */
export function commandsWithinLimit(commands: readonly WorkerCommand[]): readonly WorkerCommand[] {
  if (countWithin(commands, commandBytes, MAX_LIST_BYTES) === commands.length) return commands;
  const ordered = COMMAND_ORDER.flatMap((op) => commands.filter((command) => command.op === op));
  return ordered.slice(0, countWithin(ordered, commandBytes, MAX_LIST_BYTES));
}
