/** Selection of entry VM addresses for callers. */
export * from './choice.js';
export * from './entry-points-controller.js';
