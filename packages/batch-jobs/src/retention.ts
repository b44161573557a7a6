/** Removal of ended jobs after the retention time; their segments are then garbage. */
import type { EntryVmIo, EntryVmSettings } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { WriteStatus } from '@jujubelanding/platform';
import { createJobKey, createTeamKey } from './keys.js';
import type { EndedJob, ShardJobs } from './shard-jobs.js';

export interface RetentionOptions {
  io: Pick<EntryVmIo, 'timer' | 'store'>;
  settings: Pick<EntryVmSettings, 'resultRetentionMs'>;
  log: Log;
  shards: readonly ShardJobs[];
}

const removeJob = async (options: RetentionOptions, jobs: ShardJobs, job: EndedJob) => {
  const { store } = options.io;
  const removed = await store.remove(createJobKey(job.id), job.revision);
  if (removed.isErr()) return;
  const { value } = removed;
  // A changed record, such as one with repaired copies, comes back through the watch.
  if (value.status === WriteStatus.Conflict && value.current !== undefined) return;
  const indexKey = createTeamKey(job.team, job.id);
  const entry = await store.get(indexKey);
  if (entry.isOk() && entry.value !== undefined) {
    await store.remove(indexKey, entry.value.modRevision);
  }
  jobs.remove(job.id);
  options.log.write('job-removed', { job: job.id });
};

/** Removes the ended jobs of owned shards whose retention time has passed. */
export const removeExpired = async (options: RetentionOptions): Promise<void> => {
  const oldest = options.io.timer.wallClock() - options.settings.resultRetentionMs;
  for (const jobs of options.shards) {
    for (const job of [...jobs.ended.values()]) {
      if (!jobs.isOwned()) break;
      if (job.endedAt < oldest) await removeJob(options, jobs, job);
    }
  }
};
