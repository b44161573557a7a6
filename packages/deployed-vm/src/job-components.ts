import {
  ItemRequests,
  JobRetention,
  JobStore,
  JobTable,
  JobTransactions,
  KeySpace,
  ProgressStore,
  ResultReader,
  TokenQuota,
  type Ownership,
} from '@jujubelanding/batch-ledger';
import type { StoreFollower } from '@jujubelanding/store-follower';
import type { Fleet } from './fleet-components.js';
import type { DeployedVmOptions } from './options.js';

/** Creates the components that store and read batch jobs. */
export const createJobs = (
  { timer, store, createLog, keys, settings }: DeployedVmOptions,
  self: Ownership,
  fleet: Fleet,
  readFollower: () => StoreFollower | undefined,
  countEntryVms: () => number,
) => {
  const keySpace = new KeySpace(keys.followedPrefix, keys.onDemandPrefix);
  const log = createLog('jobs');
  const table = new JobTable(keySpace, log);
  const quota = new TokenQuota({
    timer,
    keys: keySpace,
    table,
    isTableLoaded: () => readFollower()?.isLoaded ?? false,
    countEntryVms,
  });
  const leaseId = () => fleet.lease.owning;
  const transactions = new JobTransactions({
    store,
    keys: keySpace,
    applyLocalChanges: (changes) => readFollower()?.apply(changes),
    leaseId,
    onLeaseEnded: (ended) => fleet.lease.replace(ended),
  });
  const requests = new ItemRequests({ store, keys: keySpace });
  const jobs = new JobStore({
    store,
    transactions,
    timer,
    keys: keySpace,
    table,
    self,
    leaseId,
    quota,
    requests,
  });
  const progress = new ProgressStore({ store, transactions, keys: keySpace });
  const tableAgeMs = (): number => readFollower()?.ageMs() ?? Infinity;
  const reader = new ResultReader({ store, timer, keys: keySpace, table, jobs, tableAgeMs });
  const retention = new JobRetention({
    store,
    transactions,
    timer,
    log,
    keys: keySpace,
    table,
    quota,
    self: self.entryVmId,
    listServing: () => fleet.loads.listServing(),
    retentionMs: settings.resultRetentionMs,
  });
  return { table, quota, requests, jobs, progress, reader, retention };
};
