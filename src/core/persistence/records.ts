/**
 * Keys and values of the service's records in the key-value store. Stored names and formats are mapped to the terms
 * of the core only here. They must not change, because other versions read and write them, too.
 */
export * from './records/chunks.js';
export * from './records/controllers.js';
export * from './records/demand.js';
export * from './records/jobs.js';
export * from './records/keys.js';
