/** Execution of batch items on the workers whose shards this VM owns. */
export * from './attempt-decision.js';
export * from './batch-executor.js';
export * from './chunk-set.js';
export * from './active-chunk.js';
export * from './item-choice.js';
export * from './job-owner-client.js';
export * from './progress-reporter.js';
export * from './worker-slots.js';
