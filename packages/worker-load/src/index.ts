/** Online requests in flight and load of workers, as counted by owners and known to entry VMs. */
export * from './notice-ledger.js';
export * from './notice-rate-limiter.js';
export * from './own-requests.js';
export * from './owned-workers.js';
export * from './sent-totals.js';
export * from './worker-loads.js';
