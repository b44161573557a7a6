/** Starts a small local fleet on loopback and runs one online request and one batch job. */
export * from './local-fleet.js';
export * from './program.js';
export * from './records.js';
export * from './session.js';
