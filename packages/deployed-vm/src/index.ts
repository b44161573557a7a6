/** Creates and connects the components of an entry VM that runs on the platform. */
export { BatchJobApi, type JobSubmission } from './batch-job-api.js';
export { DeployedVm } from './deployed-vm.js';
export type { DeployedIo, DeployedVmOptions, PlatformFormats, StoreKeys } from './options.js';
export type { DeployedSettings } from './settings.js';
