/** Records of live jobs, which hold their specification as it stands, and of ended ones. */
import type { EndedRecord, JobSpec } from '../../types.js';
import { asObject, isAmount, isCount, isText } from '../../values.js';

/** A job record as this program wrote it; null if it is not one. */
export function decodeJob(value: unknown): JobSpec | null {
  const raw = asObject(value);
  if (raw === null || !isText(raw['id']) || !isCount(raw['tasks'])) return null;
  // Without its dependencies a job would start too early: a damaged list is not taken for an empty one.
  const awaits = raw['awaits'];
  if (awaits !== undefined && !(Array.isArray(awaits) && awaits.every(isText))) return null;
  return value as JobSpec;
}

/** Bytes of a job's record. */
export const jobBytes = (spec: JobSpec): number => Buffer.byteLength(JSON.stringify(spec));

/** The record of a job's end; null if it is not one. */
export function decodeEnded(value: unknown): EndedRecord | null {
  const raw = asObject(value);
  if (raw === null || (raw['stage'] !== 'done' && raw['stage'] !== 'withdrawn')) return null;
  const count = (field: string): number => (isCount(raw[field]) ? raw[field] : 0);
  const at = isAmount(raw['at']) ? { at: raw['at'] } : {};
  return { stage: raw['stage'], tasks: count('tasks'), done: count('done'), ...at };
}
