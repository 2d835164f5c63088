/**
 * Drafts the transactions that store the leader's state in the key-value store, and restores the state from the
 * stored records. Code outside the core imports only from this file.
 */
export * from './claims.js';
export * from './commit.js';
export * from './dirty-jobs.js';
export * from './job-lifecycle.js';
export * from './layout-migration.js';
export * from './load-chunks.js';
export * from './reconciliation.js';
export * from './records.js';
