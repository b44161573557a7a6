/** Randomised run with invariants asserted inside the program. */
export * from './mutation.js';
export * from './run-seed.js';
export * from './violation.js';
