/** Simulated process that tests can pause, resume and crash. */
export * from './test-process.js';
