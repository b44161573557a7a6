/** Seeded random numbers and stable hashing. */
export * from './random.js';
export * from './hashing.js';
