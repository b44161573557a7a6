/** Execution of batch items on owned workers. */
export * from './attempt-decision.js';
export * from './batch-executor.js';
export * from './chunk-set.js';
export * from './active-chunk.js';
export * from './item-choice.js';
export * from './owner-calls.js';
export * from './progress-reporter.js';
export * from './worker-slots.js';
