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
 * Work of this time is done again when the owner of a job is lost. An item runs for about five seconds
 * and has some seconds to spare; each save is a call to the store.
 */
const SAVE_INTERVAL_MS = 1500;

export interface ProgressSaverOptions {
  timer: Timer;
  log: Log;
  progress: ProgressStore;
  table: JobTable;
  owned: OwnedJob;
}

/** Stores what has arrived of one job's items, so that its next owner goes on from there. */
export class ProgressSaver {
  private savedAt: number;

  private isSaving = false;

  /** A part that may be stored; it stays as it is until that is known. */
  private pending: ProgressDelta | undefined;

  constructor(private readonly options: ProgressSaverOptions) {
    this.savedAt = options.timer.now();
  }

  /** Saves when it is time. */
  async saveIfDue(): Promise<void> {
    const { timer } = this.options;
    if (this.isSaving || timer.now() - this.savedAt < SAVE_INTERVAL_MS) return;
    this.isSaving = true;
    this.savedAt = timer.now();
    await this.save();
    this.isSaving = false;
  }

  private async save(): Promise<void> {
    const { progress, table, owned, log } = this.options;
    const known = table.find(owned.jobId);
    const delta = this.pending ?? owned.deltaBuilder.create(owned.collectProgress());
    if (delta === undefined || known === undefined || known.ownerRevision === 0) return;
    this.pending = delta;
    const saved = await progress.save(known, owned.deltaBuilder.sequence, delta);
    if (saved.isOk() && saved.value === SaveStatus.Saved) {
      owned.deltaBuilder.markStored(delta);
      this.pending = undefined;
      return;
    }
    const reason = saved.isErr() ? saved.error.code : saved.value;
    log.write('progress-not-saved', { job: owned.jobId, reason });
  }

  /** Hands the job over with what is not stored. */
  async release(): Promise<boolean> {
    const { progress, table, owned } = this.options;
    const known = table.find(owned.jobId);
    if (known === undefined || known.ownerRevision === 0) return false;
    const delta = owned.deltaBuilder.create(owned.collectProgress());
    const released = await progress.release(known, owned.deltaBuilder.sequence, delta);
    return released.isOk() && released.value;
  }
}
