/** At-most-once claims for non-idempotent requests. */
export * from './claim-comparison.js';
export * from './claim-encoding.js';
export * from './claim-owner.js';
export * from './claim-storage.js';
export * from './claims-controller.js';
