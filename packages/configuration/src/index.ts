/** Replica of the operator records, with held and active revisions that never decrease. */
export { ActivationCause, CONFIRMED_ACTIVATION_DELAY_MS } from './activation.js';
export type { InvalidRecord } from './active-records.js';
export * from './configuration-controller.js';
