/** Values that entry VMs share through memory, without the key-value service. */
export * from './shared-values.js';
export * from './value-exchanger.js';
