/** Removes ended jobs after the retention time. Their segments are then collected as garbage. */
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
  // A record that has changed, for example by a copy repair, is reported by the watch and tried again.
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
  const removeBefore = options.io.timer.wallClock() - options.settings.resultRetentionMs;
  for (const jobs of options.shards) {
    for (const job of [...jobs.ended.values()]) {
      if (!jobs.isOwned()) break;
      if (job.endedAt < removeBefore) await removeJob(options, jobs, job);
    }
  }
};
