/** Rate and concurrency limits of teams over all entry VMs, and overload refusal. */
export * from './grant-division.js';
export * from './grant-holder.js';
export * from './overload-gate.js';
export * from './overload.js';
export * from './team-limits.js';
