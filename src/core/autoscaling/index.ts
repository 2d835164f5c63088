/**
 * Autoscaling: provisioning and termination of machines. This is the directory's public interface: code outside
 * the core imports only from here.
 */
export * from './capacity-plan.js';
export * from './demand-history.js';
export * from './headroom-planning.js';
export * from './instance-kinds.js';
export * from './planned-machine.js';
export * from './provisioning.js';
export * from './scale-in.js';
export * from './scale-out.js';
export * from './start-queue.js';
export * from './task-planning.js';
