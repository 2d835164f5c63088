/**
 * What is written to the key-value store, and read back. The area's public face: code outside the core imports
 * from here alone.
 */
export * from './claims.js';
export * from './commit.js';
export * from './dirty-jobs.js';
export * from './job-lifecycle.js';
export * from './layout-migration.js';
export * from './load-chunks.js';
export * from './reconciliation.js';
export * from './records.js';
