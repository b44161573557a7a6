/** The program jujubelandingd, which runs an entry VM. */
export * from './daemon.js';
