/** Batch jobs whose record, ledger and results are values in the key-value store. */
export * from './job.js';
export { KeySpace } from './key-space.js';
export { JobTable, type KnownJob } from './job-table.js';
export {
  JobStore,
  type JobStoreOptions,
  type NewResult,
  EndStatus,
  SubmitStatus,
} from './job-store.js';
export { ResultReader, type ListedResult, type ResultPage } from './result-reader.js';
