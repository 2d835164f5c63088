/** Records of live jobs, which hold the unchanged job specification, and of ended jobs. */
import type { EndedRecord, JobSpec } from '../../types.js';
import { asObject, isAmount, isCount, isText } from '../../values.js';

/** Decodes the record of a live job, as this program wrote it; null if the value is not one. */
export function decodeJob(value: unknown): JobSpec | null {
  const raw = asObject(value);
  if (raw === null || !isText(raw['id']) || !isCount(raw['tasks'])) return null;
  // A malformed list does not count as empty: without its dependencies, the job would start too early.
  const awaits = raw['awaits'];
  if (awaits !== undefined && !(Array.isArray(awaits) && awaits.every(isText))) return null;
  return value as JobSpec;
}

/** Size of a job's record in bytes. */
export const jobBytes = (spec: JobSpec): number => Buffer.byteLength(JSON.stringify(spec));

/** Decodes the record of a job's end; null if the value is not one. */
export function decodeEnded(value: unknown): EndedRecord | null {
  const raw = asObject(value);
  if (raw === null || (raw['stage'] !== 'done' && raw['stage'] !== 'withdrawn')) return null;
  const count = (field: string): number => (isCount(raw[field]) ? raw[field] : 0);
  const at = isAmount(raw['at']) ? { at: raw['at'] } : {};
  return { stage: raw['stage'], tasks: count('tasks'), done: count('done'), ...at };
}
