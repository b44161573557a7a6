/** Process on virtual time that tests pause and crash. */
export * from './test-process.js';
