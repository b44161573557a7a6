/** Shard ownership under leases with fencing numbers. */
export * from './shards-controller.js';
export { LEASE_MARGIN_MS, LEASE_TTL_MS, RENEWAL_INTERVAL_MS } from './lease.js';
