import {
  SaveStatus,
  type ProgressStore,
  type JobTable,
  type ProgressDelta,
} from '@jujubelanding/batch-ledger';
import type { Log } from '@jujubelanding/log';
import type { Timer } from '@jujubelanding/timer';
import type { OwnedJob } from './owned-job.js';

/**
 * Time between two saves; about as much work is repeated when the owner of a job is lost. An item runs
 * for about five seconds and has a few seconds of slack. Each save is a call to the store.
 */
const SAVE_INTERVAL_MS = 1500;

export interface ProgressSaverOptions {
  timer: Timer;
  log: Log;
  progress: ProgressStore;
  table: JobTable;
  ownedJob: OwnedJob;
}

/** Periodically stores the progress of a job's items, so that its next owner can resume them. */
export class ProgressSaver {
  private savedAt: number;

  private isSaving = false;

  /** A delta whose save is unconfirmed; it is sent again unchanged until its outcome is known. */
  private pending: ProgressDelta | undefined;

  constructor(private readonly options: ProgressSaverOptions) {
    this.savedAt = options.timer.now();
  }

  /** Saves if the interval has elapsed since the last save. */
  async saveIfDue(): Promise<void> {
    const { timer } = this.options;
    if (this.isSaving || timer.now() - this.savedAt < SAVE_INTERVAL_MS) return;
    this.isSaving = true;
    this.savedAt = timer.now();
    await this.save();
    this.isSaving = false;
  }

  private async save(): Promise<void> {
    const { progress, table, ownedJob, log } = this.options;
    const snapshot = table.find(ownedJob.jobId);
    const delta = this.pending ?? ownedJob.deltaBuilder.create(ownedJob.collectProgress());
    if (delta === undefined || snapshot === undefined || snapshot.ownerRevision === 0) return;
    this.pending = delta;
    const saved = await progress.save(snapshot, ownedJob.deltaBuilder.sequence, delta);
    if (saved.isOk() && saved.value === SaveStatus.Saved) {
      ownedJob.deltaBuilder.markStored(delta);
      this.pending = undefined;
      return;
    }
    const reason = saved.isErr() ? saved.error.code : saved.value;
    log.write('progress-not-saved', { job: ownedJob.jobId, reason });
  }

  /** Releases the job, together with progress that is not stored yet. */
  async release(): Promise<boolean> {
    const { progress, table, ownedJob } = this.options;
    const snapshot = table.find(ownedJob.jobId);
    if (snapshot === undefined || snapshot.ownerRevision === 0) return false;
    const delta = ownedJob.deltaBuilder.create(ownedJob.collectProgress());
    const released = await progress.release(snapshot, ownedJob.deltaBuilder.sequence, delta);
    return released.isOk() && released.value;
  }
}
