/** Wires the parts of an entry VM that runs on the platform. */
export { BatchCalls, type JobSubmission } from './batch-calls.js';
export { DeployedVm, type DeployedVmOptions, type StoreKeys } from './deployed-vm.js';
export type { DeployedSettings } from './settings.js';
