/** Process on virtual time that tests pause and crash. */
export * from './process.js';
