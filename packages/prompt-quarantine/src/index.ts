/** Finds prompt parts and requests that crash workers, and refuses them. */
export { CrashEvidence, type VmEvidence } from './crash-evidence.js';
export {
  PromptQuarantine,
  type CutAnswer,
  type PromptQuarantineOptions,
} from './prompt-quarantine.js';
export { decideLoss, LossEvidence, LossVerdict, type LossInputs } from './loss-decision.js';
export type { RunCheck } from './loss-checks.js';
export type { RequestLoss } from './request-suspects.js';
export { RequestEvidence } from './request-evidence.js';
export type { Probe } from './block-probes.js';
export { computeRequestKey, type RepeatableRequest } from './request-key.js';
