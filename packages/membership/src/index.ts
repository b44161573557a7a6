/** Failure detection and gossip between entry VMs. */
export * from './membership-controller.js';
export { MAX_UPDATE_BYTES } from './payload.js';
export { PROBE_PERIOD_MS } from './swim.js';
