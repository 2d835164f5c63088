/**
 * Placement: which task goes to which machine, and when, by EASY backfilling. Code outside the
 * core imports from this file only.
 */
export * from './constrained-types.js';
export * from './easy.js';
export * from './headroom.js';
export * from './job-queue.js';
export * from './preemption.js';
export * from './resources.js';
export * from './shadow-time.js';
export * from './starvation.js';
export * from './team-quota.js';
export * from './wait-reason.js';
