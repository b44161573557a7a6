/** Stores batch jobs, their ledgers, results and progress in the key-value store. */
export * from './job.js';
export {
  ProgressDeltaBuilder,
  continuesProgress,
  mergeDeltas,
  type ItemProgress,
  type JobProgress,
  type ProgressDelta,
} from './progress.js';
export { ItemRequests } from './item-requests.js';
export { KeySpace } from './key-space.js';
export { JobTable, hasFirstOwner, type JobSnapshot } from './job-table.js';
export {
  JobStore,
  type AppendOutcome,
  type JobStoreOptions,
  type NewResult,
  EndStatus,
  SubmitStatus,
} from './job-store.js';
export { ResultReader, type ResultPageEntry, type ResultPage } from './result-reader.js';
export { JobTransactions, type JobTransactionsOptions } from './job-transactions.js';
export { TokenQuota, createQuotaId, type TokenQuotaOptions } from './token-quota.js';
export {
  ProgressStore,
  SaveStatus,
  type NumberedDelta,
  type StoredProgress,
} from './progress-store.js';
export { JobRetention, type JobRetentionOptions } from './job-retention.js';
