/** Runs a local fleet of processes under load and injects faults. */
export * from './fault-handlers.js';
export * from './fault-run.js';
export * from './online-load.js';
export * from './order-service.js';
export * from './order-load.js';
