import {
  SaveStatus,
  type NumberedDelta,
  type ProgressStore,
  type JobSnapshot,
  type JobTable,
  type ProgressDelta,
  type ProgressDeltaBuilder,
} from '@jujubelanding/batch-ledger';
import type { Log } from '@jujubelanding/log';
import type { Timer } from '@jujubelanding/timer';
import type { OwnedJob } from './owned-job.js';
import type { ResultCompanion } from './result-queue.js';

/**
 * Time between two saves; about as much work is repeated when the owner of a job is lost. An item runs
 * for about five seconds and has a few seconds of slack. Each save is a call to the store.
 */
const SAVE_INTERVAL_MS = 1500;

/**
 * Progress is stored with results, which saves a later call, if the last save is at least this long ago. Each
 * delta is an entry that has to be removed with its job.
 */
const MIN_SAVE_INTERVAL_MS = 750;

export interface ProgressSaverOptions {
  timer: Timer;
  log: Log;
  progress: ProgressStore;
  table: JobTable;
  ownedJob: OwnedJob;
}

/**
 * Periodically stores the progress of a job's items, so that its next owner can resume them. It serves one
 * ownership entry only, as another VM may have stored progress before a later one.
 */
export class ProgressSaver implements ResultCompanion {
  private savedAt: number;

  private isSaving = false;

  /** Time of the save before the one in progress. */
  private formerSavedAt = -Infinity;

  /** A delta whose save is unconfirmed; it is sent again unchanged until its outcome is known. */
  private pending: ProgressDelta | undefined;

  /** Store revision of the ownership entry under which progress is stored. */
  readonly ownerRevision: number | undefined;

  private readonly deltas: ProgressDeltaBuilder;

  constructor(private readonly options: ProgressSaverOptions) {
    const { timer, table, ownedJob } = options;
    this.savedAt = timer.now();
    this.ownerRevision = table.find(ownedJob.jobId)?.ownerRevision;
    this.deltas = ownedJob.deltaBuilder;
  }

  /** Saves if the interval has elapsed since the last save, together with results that wait. */
  async saveIfDue(): Promise<void> {
    const { timer, ownedJob } = this.options;
    if (this.isSaving || timer.now() - this.savedAt < SAVE_INTERVAL_MS) return;
    if (ownedJob.results.isWaiting) {
      void ownedJob.results.flush();
      if (this.isTaken()) return;
    }
    this.isSaving = true;
    this.savedAt = timer.now();
    await this.save();
    this.isSaving = false;
  }

  /** Returns progress to be stored with results, if enough time has passed since the last save. */
  take(maxCharacters: number): NumberedDelta | undefined {
    const { timer } = this.options;
    const now = timer.now();
    if (this.isSaving || now - this.savedAt < MIN_SAVE_INTERVAL_MS) return undefined;
    const delta = this.pending ?? this.createDelta();
    if (delta === undefined || this.findOwned() === undefined) return undefined;
    if (JSON.stringify(delta).length > maxCharacters) return undefined;
    this.isSaving = true;
    this.formerSavedAt = this.savedAt;
    this.savedAt = now;
    this.pending = delta;
    return { sequence: this.deltas.sequence, delta };
  }

  /** Ends the save that began with {@link take}; progress that is not stored stays due. */
  settle(saved: SaveStatus | undefined, reason: string): void {
    this.isSaving = false;
    if (saved === SaveStatus.Saved) {
      this.markStored(this.pending!);
      return;
    }
    this.savedAt = this.formerSavedAt;
    this.logNotSaved(saved ?? reason);
  }

  /** The revision of another owner's entry, which a conflict reveals, must not become a condition. */
  private findOwned(): JobSnapshot | undefined {
    const snapshot = this.options.table.find(this.options.ownedJob.jobId);
    return snapshot?.owner !== undefined && snapshot.ownerRevision === this.ownerRevision
      ? snapshot
      : undefined;
  }

  private isTaken(): boolean {
    return this.isSaving;
  }

  private createDelta(): ProgressDelta | undefined {
    return this.deltas.create(this.options.ownedJob.collectProgress());
  }

  private markStored(delta: ProgressDelta): void {
    this.deltas.markStored(delta);
    this.pending = undefined;
  }

  private logNotSaved(reason: string): void {
    this.options.log.write('progress-not-saved', { job: this.options.ownedJob.jobId, reason });
  }

  private async save(): Promise<void> {
    const { progress } = this.options;
    const snapshot = this.findOwned();
    const delta = this.pending ?? this.createDelta();
    if (delta === undefined || snapshot === undefined) return;
    this.pending = delta;
    const saved = await progress.save(snapshot, this.deltas.sequence, delta);
    if (saved.isOk() && saved.value === SaveStatus.Saved) {
      this.markStored(delta);
      return;
    }
    this.logNotSaved(saved.isErr() ? saved.error.code : saved.value);
  }

  /** Releases the job, together with progress that is not stored yet. */
  async release(): Promise<boolean> {
    const { progress } = this.options;
    const snapshot = this.findOwned();
    if (snapshot === undefined) return false;
    const delta = this.createDelta();
    const released = await progress.release(snapshot, this.deltas.sequence, delta);
    return released.isOk() && released.value;
  }
}
