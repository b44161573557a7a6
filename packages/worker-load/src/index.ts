/** Online requests in flight and load per worker, counted by owners, estimated by entry VMs. */
export * from './notice-ledger.js';
export * from './notice-rate-limiter.js';
export * from './local-requests.js';
export * from './owned-workers.js';
export * from './sent-totals.js';
export * from './worker-loads.js';
