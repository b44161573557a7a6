/** Acceptance of batch jobs, and the job owner, which grants their chunks and commits their results. */
export * from './batch-job-service.js';
export * from './chunk-builder.js';
export * from './codec.js';
export * from './copy-repair.js';
export * from './faults.js';
export * from './job-owner.js';
export * from './job-records.js';
export * from './keys.js';
export * from './open-chunk-advertiser.js';
export * from './progress-responder.js';
export * from './reference-reader.js';
export * from './schedule.js';
export * from './segment-json-lines.js';
