/** What the service itself keeps in the state service: keys and values. */
import type { ChunkRecord, Claim, EndedRecord, JobSpec } from '../types.js';
import { asObject, isAmount, isCount, isText, type Json } from '../values.js';

export const JOB_PREFIX = 'job/';
export const RUN_PREFIX = 'run/';
export const TERM_KEY = 'term';
export const LEADER_KEY = 'leader';
/** What a leader has learned of the demand, for the next one. */
export const DEMAND_KEY = 'memory';
/** The same in pieces, once values may have to be small. */
export const DEMAND_PREFIX = 'memory/';
export const demandKey = (part: number): string => DEMAND_PREFIX + part;
export const DEPUTY_PREFIX = 'deputy/';
/** What a node's program can read, declared by itself. */
export const VERSION_PREFIX = 'version/';
export const versionKey = (node: string): string => VERSION_PREFIX + node;
/** Exists once every controller is known to read what this version writes; it never goes. */
export const FORMAT_KEY = 'format';
/** The format that this program writes once all can read it; 1 is that of the versions before. */
export const FORMAT = 2;

export const deputyKey = (node: string, part: number): string => `${DEPUTY_PREFIX}${node}/${part}`;

export interface FormatRecord {
  readonly format: number;
  /** Tasks of a chunk whose key tells no width. */
  readonly wide: number;
  /** Tasks of the narrowest chunks written so far. */
  readonly tasks: number;
}

/** What the format key says, or a node of itself; widths are left out of the latter. */
export function decodeFormat(value: unknown): FormatRecord | null {
  const raw = asObject(value);
  if (raw === null || !isCount(raw['format'])) return null;
  const width = (field: string): number => (isCount(raw[field]) && raw[field] > 0 ? raw[field] : Infinity);
  return { format: raw['format'], wide: width('wide'), tasks: width('tasks') };
}

/** Machines a deputy hears, and the time of day at which it said so. */
export interface DeputyRecord {
  readonly at: number;
  readonly machines: readonly string[];
}

export function decodeDeputy(value: unknown): DeputyRecord | null {
  const raw = asObject(value);
  if (raw === null || !isAmount(raw['at']) || !Array.isArray(raw['machines'])) return null;
  return { at: raw['at'], machines: raw['machines'].filter(isText) };
}

export const jobKey = (id: string): string => JOB_PREFIX + id;
export const endedKey = (id: string): string => `ended/${id}`;

/** Which tasks of a job a chunk holds: `width` of them, from `index` times `width` on. */
export interface ChunkName {
  readonly index: number;
  /** Null: the width that the first versions derive from the size of a value. */
  readonly width: number | null;
}

/** Fixed width keeps the chunks of a job in order. */
export const chunkKey = (id: string, { index, width }: ChunkName): string =>
  `${RUN_PREFIX}${id}/${width === null ? '' : `${width}.`}${String(index).padStart(5, '0')}`;

export const jobOfKey = (key: string): string => key.slice(JOB_PREFIX.length);

export function parseChunkKey(key: string): (ChunkName & { readonly job: string }) | null {
  const found = /^run\/(.+)\/(?:([1-9]\d{0,6})\.)?(\d{1,6})$/.exec(key);
  if (found?.[1] === undefined) return null;
  return {
    job: found[1],
    index: Number(found[3]),
    width: found[2] === undefined ? null : Number(found[2]),
  };
}

/** A job record as this program wrote it; null if it is not one. */
export function decodeJob(value: unknown): JobSpec | null {
  const raw = asObject(value);
  if (raw === null || !isText(raw['id']) || !isCount(raw['tasks'])) return null;
  // A damaged list is no leave to start.
  const awaits = raw['awaits'];
  if (awaits !== undefined && !(Array.isArray(awaits) && awaits.every(isText))) return null;
  return value as JobSpec;
}

export const jobBytes = (spec: JobSpec): number => Buffer.byteLength(JSON.stringify(spec));

type ClaimRow = readonly [attempt: number, machine: string, session: number, madeAt: number];

export function encodeChunk(record: ChunkRecord): unknown {
  const claims: Record<string, ClaimRow> = {};
  for (const [task, claim] of Object.entries(record.claims)) {
    claims[task] = [claim.attempt, claim.machine, claim.agentEpoch, claim.createdAt];
  }
  return {
    of: [record.team, record.cpus, record.gpus, record.memoryGb],
    done: record.done,
    attempts: record.attempts,
    claims,
  };
}

/**
 * The same in little room: claims grouped by machine and session, each as
 * `task.attempt.age`, the age in tenths of seconds before `at`.
 */
export function encodeCompactChunk(record: ChunkRecord): unknown {
  let at = 0;
  for (const claim of Object.values(record.claims)) at = Math.max(at, claim.createdAt);
  const on: Record<string, string> = {};
  for (const [task, { attempt, machine, agentEpoch, createdAt }] of Object.entries(record.claims)) {
    const key = `${machine}:${agentEpoch}`;
    const told = `${task}.${attempt}.${Math.round((at - createdAt) / 100)}`;
    on[key] = on[key] === undefined ? told : `${on[key]} ${told}`;
  }
  return {
    of: [record.team, record.cpus, record.gpus, record.memoryGb],
    done: record.done,
    ...(Object.keys(record.attempts).length === 0 ? {} : { attempts: record.attempts }),
    ...(at === 0 ? {} : { at, on }),
  };
}

function decodeSmallClaims(at: unknown, on: Json): Record<string, Claim> | null {
  const claims: Record<string, Claim> = {};
  if (!isAmount(at)) return null;
  for (const [place, tasks] of Object.entries(on)) {
    const [, machine, session] = /^(.+):(\d+)$/.exec(place) ?? [];
    if (machine === undefined || typeof tasks !== 'string') return null;
    for (const told of tasks.split(' ')) {
      const [task, attempt, age] = told.split('.').map(Number);
      if (!isCount(task) || !isCount(attempt) || !isCount(age)) return null;
      claims[task] = { attempt, machine, agentEpoch: Number(session), createdAt: at - 100 * age };
    }
  }
  return claims;
}

export function decodeChunk(value: unknown): ChunkRecord | null {
  const raw = asObject(value);
  if (raw === null || !Array.isArray(raw['of'])) return null;
  const [team, cpus, gpus, memoryGb] = raw['of'] as [string, number, number, number];
  const attempts = asObject(raw['attempts'] ?? {});
  const on = asObject(raw['on']);
  let out: Record<string, Claim> | null = {};
  if (on !== null) out = decodeSmallClaims(raw['at'], on);
  else {
    for (const [task, row] of Object.entries(asObject(raw['claims']) ?? {})) {
      const [attempt, machine, session, madeAt] = row as ClaimRow;
      out[task] = { attempt, machine, agentEpoch: session, createdAt: madeAt };
    }
  }
  if (attempts === null || out === null) return null;
  return {
    team,
    cpus,
    gpus,
    memoryGb,
    done: String(raw['done']),
    attempts: attempts as Record<string, number>,
    claims: out,
  };
}

export function decodeEnded(value: unknown): EndedRecord | null {
  const raw = asObject(value);
  if (raw === null || (raw['stage'] !== 'done' && raw['stage'] !== 'withdrawn')) return null;
  const number = (field: string): number => (isCount(raw[field]) ? raw[field] : 0);
  const at = isAmount(raw['at']) ? { at: raw['at'] } : {};
  return { stage: raw['stage'], tasks: number('tasks'), done: number('done'), ...at };
}

/** What one class has shown of itself. */
export interface ClassDemandRecord {
  readonly spec: JobSpec;
  readonly peak: number;
  readonly gap: number;
  readonly ratio: number;
}

export function decodeDemand(value: unknown): ClassDemandRecord[] {
  const classes = asObject(value)?.['classes'];
  if (!Array.isArray(classes)) return [];
  return (classes as unknown[]).filter((entry): entry is ClassDemandRecord => {
    const raw = asObject(entry);
    return (
      raw !== null &&
      decodeJob(raw['spec']) !== null &&
      isAmount(raw['peak']) &&
      isAmount(raw['gap']) &&
      isAmount(raw['ratio'])
    );
  });
}

/** Splits a list so that each part, written as JSON with a little round it, stays below a size. */
export function pack<T>(items: readonly T[], mostBytes: number): T[][] {
  const parts: T[][] = [];
  let room = 0;
  for (const item of items) {
    const bytes = Buffer.byteLength(JSON.stringify(item)) + 1;
    if (bytes > mostBytes) continue;
    if (bytes > room) {
      parts.push([]);
      room = mostBytes;
    }
    parts.at(-1)?.push(item);
    room -= bytes;
  }
  return parts;
}

/** Bytes of a record around the list that fills it. */
const ENVELOPE = 64;

export const packDemand = (
  classes: readonly ClassDemandRecord[],
  valueBytes: number,
): ClassDemandRecord[][] => pack(classes, valueBytes - ENVELOPE);

export const packMachines = (machines: readonly string[], valueBytes: number): string[][] =>
  pack(machines, valueBytes - ENVELOPE);

export interface TermRecord {
  readonly term: number;
}

export interface LeaderRecord {
  readonly term: number;
  readonly node: string;
  readonly incarnation: string;
  /** The node that this leader hands over to; versions before do not know of it. */
  readonly successor?: string;
}

export function decodeTerm(value: unknown): TermRecord | null {
  const term = asObject(value)?.['term'];
  return isCount(term) ? { term } : null;
}

export function decodeLeader(value: unknown): LeaderRecord | null {
  const raw = asObject(value);
  if (raw === null || !isCount(raw['term']) || !isText(raw['node']) || !isText(raw['incarnation'])) {
    return null;
  }
  const successor = isText(raw['successor']) ? { successor: raw['successor'] } : {};
  return { term: raw['term'], node: raw['node'], incarnation: raw['incarnation'], ...successor };
}
