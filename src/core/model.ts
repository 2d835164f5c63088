/** The things a leader knows of, by subject. The model's public face: other modules import from here alone. */
export * from './model/config.js';
export * from './model/job.js';
export * from './model/leadership.js';
export * from './model/machine.js';
export * from './model/scheduling.js';
