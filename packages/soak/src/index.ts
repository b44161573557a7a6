/** Randomised fault-injection test of the whole fleet that checks invariants. */
export * from './mutation.js';
export * from './run-seed.js';
export * from './violation.js';
