/**
 * Writes the leader's state to the key-value store and loads it from there. Code outside the core imports only
 * from this file.
 */
export * from './claims.js';
export * from './commit.js';
export * from './dirty-jobs.js';
export * from './job-lifecycle.js';
export * from './layout-migration.js';
export * from './load-chunks.js';
export * from './reconciliation.js';
export * from './records.js';
