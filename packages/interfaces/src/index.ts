/** Interfaces between the components of an entry VM. */
export * from './state.js';
export * from './online.js';
export * from './batch.js';
export * from './io.js';
export * from './results.js';
