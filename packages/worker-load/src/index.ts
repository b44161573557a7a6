/** Online requests in flight and load of workers, as counted by owners and known to entry VMs. */
export * from './notice-ledger.js';
export * from './notice-budget.js';
export * from './own-requests.js';
export * from './owned-workers.js';
export * from './told-totals.js';
export * from './worker-loads.js';
