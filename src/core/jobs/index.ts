/** Jobs: who is where, what they aim at, and what they await. The area's public face: code outside the core imports from here alone. */
export * from './objectives.js';
export * from './jobs.js';
export * from './dependencies.js';
