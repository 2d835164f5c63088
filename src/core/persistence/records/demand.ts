/** Records of the demand that a leader has observed, stored for the next leader. */
import type { JobSpec } from '../../types.js';
import { asObject, isNonNegativeNumber } from '../../values.js';
import { decodeJob } from './jobs.js';
import { packByBytes } from './packing.js';

/** Observed demand of one job class; the field names are those stored. */
export interface ClassDemandRecord {
  /** Latest job of the class, taken as typical of jobs to come. */
  readonly spec: JobSpec;
  /** Recent peak of the number of simultaneous tasks. */
  readonly peak: number;
  /** Moving average of the time between two arrivals, in milliseconds. */
  readonly gap: number;
  /** Moving average of the ratio of run time to estimate. */
  readonly ratio: number;
}

/** Decodes the classes of a demand record; malformed ones are left out. */
export function decodeDemand(value: unknown): ClassDemandRecord[] {
  const classes = asObject(value)?.['classes'];
  if (!Array.isArray(classes)) return [];
  return (classes as unknown[]).filter((entry): entry is ClassDemandRecord => {
    const raw = asObject(entry);
    return (
      raw !== null &&
      decodeJob(raw['spec']) !== null &&
      isNonNegativeNumber(raw['peak']) &&
      isNonNegativeNumber(raw['gap']) &&
      isNonNegativeNumber(raw['ratio'])
    );
  });
}

/** Splits classes into parts that each fit into a value of `maxValueBytes`. */
export const packDemand = (
  classes: readonly ClassDemandRecord[],
  maxValueBytes: number,
): ClassDemandRecord[][] => packByBytes(classes, maxValueBytes);
