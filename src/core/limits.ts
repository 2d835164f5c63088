/**
 * Bounds on what is kept of machines besides the fleet's own state. They guard against bad input alone: the largest
 * fleet that the service is planned for has 8,000 machines.
 */

/** Machines of which a bounded collection keeps an entry; the oldest entries are dropped first. */
export const MAX_TRACKED_MACHINES = 64_000;
