/** Measures how costs grow with size, for the capacity page. */
export * from './fit.js';
export * from './series.js';
export type { Results } from './results.js';
