/** Simulates a fleet in one process, on virtual time and with network faults. */
export * from './host.js';
export * from './host-timer.js';
export * from './host-io.js';
export * from './links.js';
export * from './network-state.js';
export * from './endpoint.js';
export * from './network.js';
export * from './fleet.js';
