/** Which task goes to which machine, and when: EASY backfilling. The area's public face: code outside the core imports from here alone. */
export * from './capacity-index.js';
export * from './constrained-types.js';
export * from './easy.js';
export * from './headroom.js';
export * from './preemption.js';
export * from './job-queue.js';
export * from './reservations.js';
export * from './resources.js';
