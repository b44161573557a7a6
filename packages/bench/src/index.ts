/** Policy bench: the project's controllers against baselines on virtual time. */
export * from './cases/index.js';
export * from './cases/policies.js';
export * from './report.js';
export * from './statistics.js';
