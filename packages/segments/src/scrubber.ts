/** Background verification of local segments and garbage collection of unreferenced ones. */
import type { Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import type { LocalSegments } from './local-segments.js';

/** One page of the segments that job records place on this VM. */
export interface ReferencePage {
  segmentIds: string[];
  /** Key after which the next page starts; absent on the last page. */
  nextKey?: string;
}

export type ListReferences = (afterKey?: string) => Reply<ReferencePage>;

/** Interval between the reads of two segments; a pass over 100,000 segments takes about a week. */
export const SCRUB_INTERVAL_MS = 5000;
/**
 * Minimum age at which an unreferenced segment may be removed. Job acceptance and chunk completion
 * time out well before, so a segment is never removed before its job record is written.
 */
export const GARBAGE_GRACE_PERIOD_MS = 60 * 60 * 1000;
/** Long, because garbage is rare and each pass reads all job records. */
export const GARBAGE_INTERVAL_MS = 6 * 60 * 60 * 1000;
/** Spreads the reads of a pass over time, far below the rate limit of the key-value service. */
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
    // Records when existing segments were first found; their grace period starts then.
    void this.options.local.list();
  }

  stop(): void {
    this.running = false;
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  /** Reads one segment. The read itself quarantines a corrupt segment and triggers its replacement. */
  async scrubNext(): Promise<void> {
    if (this.pending.length === 0) {
      const ids = await this.options.local.list();
      if (ids.isErr()) return;
      this.pending = ids.value;
    }
    const next = this.pending.pop();
    if (next !== undefined) await this.options.local.get(next);
  }

  /** Removes segments past the grace period at the start of the pass that no job record refers to. */
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

  /** Returns the unreferenced candidates, or undefined when not all references could be read. */
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
