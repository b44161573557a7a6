/** Rate and concurrency limits of teams over all entry VMs, and overload refusal. */
export * from './ask-budget.js';
export * from './demand-meter.js';
export * from './grant-division.js';
export * from './grant-holder.js';
export * from './limit-messages.js';
export * from './limit-owner.js';
export * from './overload-gate.js';
export * from './overload.js';
export * from './quiet-use.js';
export * from './share-asker.js';
export * from './spent-tokens.js';
export * from './team-limits.js';
