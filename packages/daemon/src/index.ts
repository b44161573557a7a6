/** The program jujubelandingd. */
export * from './daemon.js';
