/** Data model of a leader's scheduling state, one file per subject. Other modules import it only from here. */
export * from './model/config.js';
export * from './model/job.js';
export * from './model/leadership.js';
export * from './model/machine.js';
export * from './model/scheduling.js';
