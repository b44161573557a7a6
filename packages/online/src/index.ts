/** Dispatch of online requests, with stream validation, retries and resumption. */
export * from './attempt-loop.js';
export * from './attempt.js';
export * from './crash-watch.js';
export * from './online-admission.js';
export * from './online-dispatch.js';
export * from './retry-policy.js';
export * from './service-attempt.js';
export * from './stream-validator.js';
