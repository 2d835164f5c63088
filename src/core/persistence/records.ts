/**
 * What the service keeps in the key-value store: keys and values. Stored names and forms are mapped to the terms of
 * the core here and nowhere else; they stay as they are, since other versions read and write them, too.
 */
export * from './records/chunks.js';
export * from './records/controllers.js';
export * from './records/demand.js';
export * from './records/jobs.js';
export * from './records/keys.js';
