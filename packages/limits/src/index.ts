/** Rate and concurrency limits of teams across all entry VMs, and overload control. */
export * from './request-budget.js';
export * from './demand-meter.js';
export * from './grant-division.js';
export * from './grant-holder.js';
export * from './limit-messages.js';
export * from './limit-owner.js';
export * from './overload-controller.js';
export * from './overload.js';
export * from './ungranted-usage.js';
export * from './share-requester.js';
export * from './fleet-token-bucket.js';
export * from './team-limits.js';
