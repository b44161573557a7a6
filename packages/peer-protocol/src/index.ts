/** Messages between entry VMs and the network interface that carries them. */
export * from './calls.js';
export * from './datagrams.js';
export * from './network.js';
