/**
 * Jobs: their tasks and claims, service-level objectives, and DAG dependencies. Code outside the
 * core imports from this file only.
 */
export * from './best-effort.js';
export * from './objectives.js';
export * from './jobs.js';
export * from './dependencies.js';
