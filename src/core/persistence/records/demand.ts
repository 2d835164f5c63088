/** Records of the demand as a leader has observed it, for the next one. */
import type { JobSpec } from '../../types.js';
import { asObject, isAmount } from '../../values.js';
import { decodeJob } from './jobs.js';
import { packByBytes } from './packing.js';

/** What one job class has shown of itself; the names are those stored. */
export interface ClassDemandRecord {
  /** Its latest job, as a pattern for those to come. */
  readonly spec: JobSpec;
  /** The most tasks at once of late. */
  readonly peak: number;
  /** The usual time between two arrivals, in milliseconds. */
  readonly gap: number;
  /** Run time over estimate. */
  readonly ratio: number;
}

/** The classes of a record of the demand; malformed ones are left out. */
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

/** Splits classes into parts of which each fits into a value of `maxValueBytes`. */
export const packDemand = (
  classes: readonly ClassDemandRecord[],
  maxValueBytes: number,
): ClassDemandRecord[][] => packByBytes(classes, maxValueBytes);
