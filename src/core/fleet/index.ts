/** Machines: what their reports prove, and when they are given up. The area's public face: code outside the core imports from here alone. */
export * from './fault-attribution.js';
export * from './health-summary.js';
export * from './keepalives.js';
export * from './machines.js';
export * from './probes.js';
export * from './response-tracking.js';
