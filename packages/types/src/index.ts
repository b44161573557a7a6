/** Domain types and enums shared by all packages. */
export * from './fleet.js';
export * from './inference.js';
export * from './batch.js';
export * from './records.js';
