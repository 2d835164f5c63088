/** Machines: what their reports prove, and when they are given up. The area's public face: code outside the core imports from here alone. */
export * from './faults.js';
export * from './health-summary.js';
export * from './heartbeats.js';
export * from './machines.js';
export * from './probing.js';
export * from './response-tracking.js';
