/** Finds prompt parts and requests that crash workers, and refuses them. */
export { CrashEvidence, type VmEvidence } from './crash-evidence.js';
export { PromptQuarantine, type PromptQuarantineOptions } from './prompt-quarantine.js';
export { RequestEvidence } from './request-evidence.js';
export { computeRequestKey, type RepeatableRequest } from './request-key.js';
