/**
 * Fleet: heartbeat processing, commands to workers, and failure detection. This is the directory's public
 * interface: code outside the core imports only from here.
 */
export * from './cloud-listing.js';
export * from './expected-end.js';
export * from './failure-detection.js';
export * from './fault-attribution.js';
export * from './graceful-eviction.js';
export * from './health-summary.js';
export * from './heartbeats.js';
export * from './image-cache.js';
export * from './keepalives.js';
export * from './machines.js';
export * from './pending-heartbeats.js';
export * from './probes.js';
export * from './response-tracking.js';
export * from './start-lease.js';
export * from './task-reports.js';
export * from './termination-reasons.js';
export * from './token-announcement.js';
export * from './worker-commands.js';
