/** Process that tests can pause, resume and crash, and callers that test the bounds of a real one. */
export * from './test-process.js';
export * from './crowd.js';
export * from './slow-caller.js';
