/** Background check of local segments and removal of those that no job refers to. */
import type { Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import type { LocalSegments } from './local-segments.js';

/** One page of segments that are referenced as stored on this VM. */
export interface ReferencePage {
  segmentIds: string[];
  /** Key from which the next page continues; absent on the last page. */
  nextKey?: string;
}

export type ListReferences = (afterKey?: string) => Reply<ReferencePage>;

/** One segment is read per interval; 100,000 segments take about a week. */
export const SCRUB_INTERVAL_MS = 5000;
/**
 * A segment is kept at least this long after it was written, whether referenced or not. Acceptance
 * and completion give up well before, so a segment can't be removed ahead of its job record.
 */
export const GARBAGE_GRACE_PERIOD_MS = 60 * 60 * 1000;
/** Garbage is rare, and a pass reads all job records. */
export const GARBAGE_INTERVAL_MS = 6 * 60 * 60 * 1000;
/** Spreads the reads of a pass, so that they stay far below the key-value service's rate. */
export const REFERENCE_PAGE_INTERVAL_MS = 2000;

export interface ScrubberOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'metrics'>;
  local: LocalSegments;
  log: Log;
  listReferences?: ListReferences;
}

export class Scrubber {
  private subscriptions: Subscription[] = [];

  private running = false;

  private pending: string[] = [];

  private isCollecting = false;

  constructor(private readonly options: ScrubberOptions) {}

  start(): void {
    const { timer, random } = this.options.io;
    this.running = true;
    this.subscriptions = [
      timer.every(SCRUB_INTERVAL_MS, () => {
        void this.scrubNext();
      }),
      timer.every(GARBAGE_INTERVAL_MS * (0.9 + 0.2 * random.next()), () => {
        void this.collectGarbage();
      }),
    ];
    // Notes when existing segments were first seen, from which their grace time counts.
    void this.options.local.list();
  }

  stop(): void {
    this.running = false;
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  /** Reads one segment; a corrupt one is quarantined and replaced by the read itself. */
  async scrubNext(): Promise<void> {
    if (this.pending.length === 0) {
      const ids = await this.options.local.list();
      if (ids.isErr()) return;
      this.pending = ids.value;
    }
    const next = this.pending.pop();
    if (next !== undefined) await this.options.local.get(next);
  }

  /** Removes segments that were old when the pass began and that no record refers to. */
  async collectGarbage(): Promise<void> {
    const { listReferences, local, io, log } = this.options;
    if (listReferences === undefined || this.isCollecting) return;
    this.isCollecting = true;
    const writtenBefore = io.timer.now() - GARBAGE_GRACE_PERIOD_MS;
    const candidates = await local.listOlder(writtenBefore);
    if (candidates.isOk() && candidates.value.length > 0) {
      const garbage = await this.excludeReferenced(new Set(candidates.value), listReferences);
      for (const segmentId of garbage ?? []) {
        const removed = await local.removeIfOlder(segmentId, writtenBefore);
        if (removed.isOk() && removed.value) log.write('garbage-removed', { segment: segmentId });
      }
    }
    this.isCollecting = false;
  }

  /** Returns undefined when the references could not be read completely. */
  private async excludeReferenced(
    candidates: Set<string>,
    listReferences: ListReferences,
  ): Promise<Set<string> | undefined> {
    let afterKey: string | undefined;
    for (;;) {
      const page = await listReferences(afterKey);
      if (page.isErr() || !this.running) return undefined;
      page.value.segmentIds.forEach((id) => candidates.delete(id));
      if (page.value.nextKey === undefined) return candidates;
      afterKey = page.value.nextKey;
      await this.options.io.timer.sleep(REFERENCE_PAGE_INTERVAL_MS);
    }
  }
}
