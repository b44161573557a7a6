/** Runs a local fleet of processes under load, with real faults. */
export * from './fault.js';
export * from './fault-run.js';
export * from './online-load.js';
export * from './order-desk.js';
export * from './order-load.js';
