/**
 * Bounds on what is kept of the machines outside the fleet's own record. They guard against bad input alone:
 * the largest fleet that the service is planned for has 8,000 machines.
 */

/** Machines of which any memory keeps an entry; the oldest entries are dropped first. */
export const MAX_TRACKED_MACHINES = 64_000;
