/** What is written to the state service, and read back. The area's public face: code outside the core imports from here alone. */
export * from './dirty-jobs.js';
export * from './records.js';
export * from './write-back.js';
