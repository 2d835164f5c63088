/** Records of the controllers: term, leader, formats that each can read, and machines that followers answer. */
import { asObject, isNonNegativeNumber, isNonNegativeInteger, isNonEmptyString } from '../../values.js';
import { packByBytes } from './packing.js';

/** The format that this program writes once all controllers can read it; earlier versions use 1. */
export const FORMAT = 2;

/** The format in force; the field names are those stored. */
export interface FormatRecord {
  readonly format: number;
  /** Tasks per chunk whose key does not state its width; Infinity: not recorded. */
  readonly wide: number;
  /** Tasks per chunk of the narrowest chunks written so far; Infinity: not recorded. */
  readonly tasks: number;
}

/** Decodes the format record, or a node's declaration, which omits the widths; null if the value is neither. */
export function decodeFormat(value: unknown): FormatRecord | null {
  const raw = asObject(value);
  if (raw === null || !isNonNegativeInteger(raw['format'])) return null;
  const width = (field: string): number =>
    isNonNegativeInteger(raw[field]) && raw[field] > 0 ? raw[field] : Infinity;
  return { format: raw['format'], wide: width('wide'), tasks: width('tasks') };
}

/** Machines whose workers a follower answers for a leader that they cannot reach; field names as stored. */
export interface RelayRecord {
  /** Epoch milliseconds at which the follower wrote the record. */
  readonly at: number;
  /** Names of the machines. */
  readonly machines: readonly string[];
}

/** Decodes a relay record; null if the value is not one. Malformed names of machines are left out. */
export function decodeRelay(value: unknown): RelayRecord | null {
  const raw = asObject(value);
  if (raw === null || !isNonNegativeNumber(raw['at']) || !Array.isArray(raw['machines'])) return null;
  return { at: raw['at'], machines: raw['machines'].filter(isNonEmptyString) };
}

/** Splits names of machines into parts that each fit into a value of `maxValueBytes`. */
export const packMachines = (machines: readonly string[], maxValueBytes: number): string[][] =>
  packByBytes(machines, maxValueBytes);

/** The record of the latest term. */
export interface TermRecord {
  readonly term: number;
}

/** Decodes a term record; null if the value is not one. */
export function decodeTerm(value: unknown): TermRecord | null {
  const term = asObject(value)?.['term'];
  return isNonNegativeInteger(term) ? { term } : null;
}

/** The record of the leader. */
export interface LeaderRecord {
  readonly term: number;
  /** Name of the controller's node. */
  readonly node: string;
  /** Distinguishes one run of the controller's process from the next. */
  readonly incarnation: string;
  /** The node to which this leader transfers the leadership; absent in records of earlier versions. */
  readonly successor?: string;
}

/** Decodes a leader record; null if the value is not one. */
export function decodeLeader(value: unknown): LeaderRecord | null {
  const raw = asObject(value);
  if (
    raw === null ||
    !isNonNegativeInteger(raw['term']) ||
    !isNonEmptyString(raw['node']) ||
    !isNonEmptyString(raw['incarnation'])
  ) {
    return null;
  }
  const successor = isNonEmptyString(raw['successor']) ? { successor: raw['successor'] } : {};
  return { term: raw['term'], node: raw['node'], incarnation: raw['incarnation'], ...successor };
}
