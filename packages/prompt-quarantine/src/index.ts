/** Finds prompt parts that crash workers, and refuses requests with them. */
export { CrashEvidence, type VmEvidence } from './crash-evidence.js';
export { PromptQuarantine, type PromptQuarantineOptions } from './prompt-quarantine.js';
