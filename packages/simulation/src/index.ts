/** An in-process fleet on virtual time with a faulty network. */
export * from './host.js';
export * from './host-timer.js';
export * from './host-io.js';
export * from './links.js';
export * from './network-state.js';
export * from './endpoint.js';
export * from './network.js';
export * from './fleet.js';
