/** Speed of workers, from their reports and from observed response times. */
export * from './slowdown.js';
export * from './response-times.js';
export * from './worker-speeds.js';
