/** What the service itself keeps in the state service: keys and values. */
import type { ChunkRecord, Claim, EndedRecord, JobSpec } from '../core/types.js';
import { asObject, isAmount, isCount, isText } from './json.js';

export const JOB_PREFIX = 'job/';
export const RUN_PREFIX = 'run/';
export const TERM_KEY = 'term';
export const LEADER_KEY = 'leader';
/** What a leader has learned of the demand, for the next one. */
export const MEMORY_KEY = 'memory';
export const DEPUTY_PREFIX = 'deputy/';

export const deputyKey = (node: string): string => DEPUTY_PREFIX + node;

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
/** Fixed width keeps the chunks of a job in order. */
export const chunkKey = (id: string, chunk: number): string =>
  `${RUN_PREFIX}${id}/${String(chunk).padStart(5, '0')}`;

export const jobOfKey = (key: string): string => key.slice(JOB_PREFIX.length);

export function parseChunkKey(key: string): { job: string; chunk: number } | null {
  const at = key.lastIndexOf('/');
  const chunk = Number(key.slice(at + 1));
  if (!key.startsWith(RUN_PREFIX) || at <= RUN_PREFIX.length || !isCount(chunk)) return null;
  return { job: key.slice(RUN_PREFIX.length, at), chunk };
}

/** A job record as this program wrote it; null if it is not one. */
export function decodeJob(value: unknown): JobSpec | null {
  const raw = asObject(value);
  return raw !== null && isText(raw['id']) && isCount(raw['tasks']) ? (value as JobSpec) : null;
}

type ClaimRow = readonly [attempt: number, machine: string, session: number, madeAt: number];

export function encodeChunk(record: ChunkRecord): unknown {
  const claims: Record<string, ClaimRow> = {};
  for (const [task, claim] of Object.entries(record.claims)) {
    claims[task] = [claim.attempt, claim.machine, claim.session, claim.madeAt];
  }
  return {
    of: [record.team, record.cpus, record.gpus, record.memoryGb],
    done: record.done,
    attempts: record.attempts,
    claims,
  };
}

export function decodeChunk(value: unknown): ChunkRecord | null {
  const raw = asObject(value);
  const claims = asObject(raw?.['claims']);
  const attempts = asObject(raw?.['attempts']);
  if (raw === null || claims === null || attempts === null || !Array.isArray(raw['of'])) return null;
  const [team, cpus, gpus, memoryGb] = raw['of'] as [string, number, number, number];
  const out: Record<string, Claim> = {};
  for (const [task, row] of Object.entries(claims)) {
    const [attempt, machine, session, madeAt] = row as ClaimRow;
    out[task] = { attempt, machine, session, madeAt };
  }
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
  return { stage: raw['stage'], tasks: number('tasks'), done: number('done') };
}

/** What one class has shown of itself. */
export interface ClassMemory {
  readonly spec: JobSpec;
  readonly peak: number;
  readonly gap: number;
  readonly ratio: number;
}

export function decodeMemory(value: unknown): ClassMemory[] {
  const classes = asObject(value)?.['classes'];
  if (!Array.isArray(classes)) return [];
  return (classes as unknown[]).filter((entry): entry is ClassMemory => {
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

export interface TermRecord {
  readonly term: number;
}

export interface LeaderRecord {
  readonly term: number;
  readonly node: string;
  readonly incarnation: string;
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
  return { term: raw['term'], node: raw['node'], incarnation: raw['incarnation'] };
}
