/** Renting and returning machines. The area's public face: code outside the core imports from here alone. */
export * from './autoscaler.js';
