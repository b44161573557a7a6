/** Pure functions that decide which share of each worker's slots batch work may use. */
export * from './capacity-policy.js';
export * from './policy-name.js';
export * from './preemption.js';
export * from './reserve.js';
export * from './takeover.js';
