/** A timer service that parts subscribe to. */
export * from './timer.js';
export * from './system-timer.js';
export * from './virtual-timer.js';
