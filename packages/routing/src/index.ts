/** Worker selection for requests. */
export * from './chooser.js';
export * from './first-token-watch.js';
export type { RouterResults } from './health-reporting.js';
export * from './prefix-index.js';
export * from './result-window.js';
export * from './retry-budget.js';
export * from './router.js';
export * from './subset.js';
export * from './worker-health.js';
