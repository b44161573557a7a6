/** At-most-once claims of non-idempotent requests. */
export * from './claim-group.js';
export * from './claim-log.js';
export * from './claim-owner.js';
export * from './claim-storage.js';
export * from './claims.js';
