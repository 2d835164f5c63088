/**
 * Bounds on the data kept by machine name besides the fleet's own state. They only guard against invalid input: the
 * largest fleet that the service is planned for has 8,000 machines.
 */

/** Maximum number of machines in a bounded collection. Caches drop their oldest entries first. */
export const MAX_TRACKED_MACHINES = 64_000;
