/** Records of live jobs, which hold the unchanged job specification, and of ended jobs. */
import type { EndedRecord, JobSpec } from '../../types.js';
import { asObject, isNonNegativeNumber, isNonNegativeInteger, isNonEmptyString } from '../../values.js';

/** Decodes the record of a live job, as this program wrote it; null if the value is not one. */
export function decodeJob(value: unknown): JobSpec | null {
  const raw = asObject(value);
  if (raw === null || !isNonEmptyString(raw['id']) || !isNonNegativeInteger(raw['tasks'])) return null;
  // A malformed list does not count as empty: without its dependencies, the job would start too early.
  const awaits = raw['awaits'];
  if (awaits !== undefined && !(Array.isArray(awaits) && awaits.every(isNonEmptyString))) return null;
  return value as JobSpec;
}

/** Size of a job's record in bytes. */
export const jobBytes = (spec: JobSpec): number => Buffer.byteLength(JSON.stringify(spec));

/** Decodes the record of a job's end; null if the value is not one. */
export function decodeEnded(value: unknown): EndedRecord | null {
  const raw = asObject(value);
  if (raw === null || (raw['stage'] !== 'done' && raw['stage'] !== 'withdrawn')) return null;
  const count = (field: string): number => (isNonNegativeInteger(raw[field]) ? raw[field] : 0);
  const at = isNonNegativeNumber(raw['at']) ? { at: raw['at'] } : {};
  return { stage: raw['stage'], tasks: count('tasks'), done: count('done'), ...at };
}
