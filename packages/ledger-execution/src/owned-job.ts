import {
  continuesProgress,
  ProgressDeltaBuilder,
  type ItemProgress,
  type ItemRequest,
  type JobProgress,
  type JobSnapshot,
  type StoredProgress,
} from '@jujubelanding/batch-ledger';
import { ItemBackoff } from '@jujubelanding/item-backoff';
import type { ItemRun } from './item-run.js';
import type { ResultQueue } from './result-queue.js';

/** An unfinished item of an owned job. */
export interface OwnedItem {
  index: number;
  progress: ItemProgress;
  run?: ItemRun | undefined;
  /** Earliest start of the next run, on the monotonic clock. */
  notBefore: number;
  /** Runs that were refused or lost. */
  lostRuns: number;
  /** Refusals since an event of the item was received. */
  refusals: ItemBackoff;
  /** Runs since the last progress whose responses were no valid continuation of the item. */
  invalidStreams: ItemBackoff;
}

export const createOwnedItem = (index: number, progress: ItemProgress): OwnedItem => ({
  index,
  progress,
  notBefore: 0,
  lostRuns: 0,
  refusals: new ItemBackoff(),
  invalidStreams: new ItemBackoff(),
});

export type RunningItem = OwnedItem & { run: ItemRun };

const createEmptyProgress = (): ItemProgress => ({ events: [], failures: 0 });

/** Execution state of a job while this VM owns it. */
export class OwnedJob {
  readonly items = new Map<number, OwnedItem>();

  /** Builds the deltas of the progress that is not stored. */
  deltaBuilder: ProgressDeltaBuilder;

  constructor(
    readonly jobId: string,
    /** Time at which all results are due, in epoch milliseconds. */
    readonly dueAt: number,
    readonly results: ResultQueue,
    snapshot: JobSnapshot,
    { progress, sequence }: StoredProgress,
    /** In the order of the job's items. */
    readonly requests: readonly ItemRequest[],
  ) {
    this.deltaBuilder = new ProgressDeltaBuilder(progress, sequence);
    snapshot.job.items.forEach((_item, index) => {
      const stored = progress[index];
      this.items.set(index, createOwnedItem(index, stored ?? createEmptyProgress()));
    });
    this.update(snapshot);
  }

  /** Cancels and removes items that have a result in the ledger. */
  update({ ledger }: JobSnapshot): void {
    for (const [index] of ledger.results) {
      this.items.get(index)?.run?.cancel();
      this.items.delete(index);
    }
  }

  /**
   * Compares the items with progress that was read from the store. Those that another owner ran meanwhile
   * start again from the stored progress; returns their number.
   */
  adopt({ progress, sequence }: StoredProgress): number {
    this.deltaBuilder = new ProgressDeltaBuilder(progress, sequence);
    let replaced = 0;
    this.items.forEach((item, index) => {
      const stored = progress[index];
      if (stored === undefined) return;
      const failures = Math.max(item.progress.failures, stored.failures);
      if (continuesProgress(item.progress, stored)) {
        item.progress.failures = failures;
        return;
      }
      item.run?.cancel();
      this.items.set(index, createOwnedItem(index, { ...stored, failures }));
      replaced += 1;
    });
    return replaced;
  }

  /** Lists items that can be started. */
  listWaiting(now: number): OwnedItem[] {
    return [...this.items.values()].filter(
      ({ run, notBefore, index }) =>
        run === undefined && notBefore <= now && !this.results.has(index),
    );
  }

  listRunning(): RunningItem[] {
    return [...this.items.values()].filter((item): item is RunningItem => item.run !== undefined);
  }

  cancelRuns(): void {
    this.listRunning().forEach(({ run }) => run.cancel());
  }

  /**
   * Returns the progress of unfinished items; items with a result that is still being committed are
   * finished.
   */
  collectProgress(): JobProgress {
    const unfinished = [...this.items.values()].filter(({ index }) => !this.results.has(index));
    return Object.fromEntries(unfinished.map(({ index, progress }) => [String(index), progress]));
  }
}
