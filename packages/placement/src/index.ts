/** Placement of models and adapters on workers. */
export * from './load-rate-limiter.js';
export * from './placement-controller.js';
export * from './placement-decision.js';
export * from './worker-reports.js';
