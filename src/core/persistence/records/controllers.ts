/** Records of the controllers: term, leadership, what each can read, and the workers that followers answer. */
import { asObject, isAmount, isCount, isText } from '../../values.js';
import { packByBytes } from './packing.js';

/** The format that this program writes once all controllers can read it; 1 is that of the versions before. */
export const FORMAT = 2;

/** The format in force; the names are those stored. */
export interface FormatRecord {
  readonly format: number;
  /** Tasks of a chunk whose key tells no width; Infinity: not said. */
  readonly wide: number;
  /** Tasks of the narrowest chunks written so far; Infinity: not said. */
  readonly tasks: number;
}

/** What the format key says, or a node of itself, which leaves the widths out; null if it is no such record. */
export function decodeFormat(value: unknown): FormatRecord | null {
  const raw = asObject(value);
  if (raw === null || !isCount(raw['format'])) return null;
  const width = (field: string): number => (isCount(raw[field]) && raw[field] > 0 ? raw[field] : Infinity);
  return { format: raw['format'], wide: width('wide'), tasks: width('tasks') };
}

/** Machines whose workers a follower answers for a leader that they do not reach; the names are those stored. */
export interface RelayRecord {
  /** Epoch milliseconds at which the follower said so. */
  readonly at: number;
  /** Names of the machines. */
  readonly machines: readonly string[];
}

/** A relay record; null if it is not one. Malformed names of machines are left out. */
export function decodeRelay(value: unknown): RelayRecord | null {
  const raw = asObject(value);
  if (raw === null || !isAmount(raw['at']) || !Array.isArray(raw['machines'])) return null;
  return { at: raw['at'], machines: raw['machines'].filter(isText) };
}

/** Splits names of machines into parts of which each fits into a value of `maxValueBytes`. */
export const packMachines = (machines: readonly string[], maxValueBytes: number): string[][] =>
  packByBytes(machines, maxValueBytes);

/** The latest term. */
export interface TermRecord {
  readonly term: number;
}

/** The term of a record; null if it is not one. */
export function decodeTerm(value: unknown): TermRecord | null {
  const term = asObject(value)?.['term'];
  return isCount(term) ? { term } : null;
}

/** Who leads. */
export interface LeaderRecord {
  readonly term: number;
  /** Name of the controller's node. */
  readonly node: string;
  /** Tells one run of its process from the next. */
  readonly incarnation: string;
  /** The node that this leader transfers the leadership to; earlier versions do not know of it. */
  readonly successor?: string;
}

/** A record of the leader; null if it is not one. */
export function decodeLeader(value: unknown): LeaderRecord | null {
  const raw = asObject(value);
  if (raw === null || !isCount(raw['term']) || !isText(raw['node']) || !isText(raw['incarnation'])) {
    return null;
  }
  const successor = isText(raw['successor']) ? { successor: raw['successor'] } : {};
  return { term: raw['term'], node: raw['node'], incarnation: raw['incarnation'], ...successor };
}
