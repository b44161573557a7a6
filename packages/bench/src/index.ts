/** Policy benchmark: compares the controllers with baselines on virtual time. */
export * from './cases/index.js';
export * from './cases/policies.js';
export * from './report.js';
export * from './statistics.js';
