import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type {
  CopySource,
  KeyValueChange,
  KeyValueEntry,
  KeyValueList,
  WatchResult,
} from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';

/** Changes kept for VMs that continue from an older revision; further ones list the entries again. */
const MAX_CHANGES = 1000;

/** Entries in a page. */
const MAX_PAGE_ENTRIES = 300;

/** Total length of the values in a page, in characters. */
const MAX_PAGE_CHARACTERS = 1_000_000;

/**
 * Watches that wait are answered without changes when the store has confirmed the copy at least this much
 * later than in the last answer. A smaller step may be the time of a message, which ages do not contain.
 */
const MIN_CONFIRMATION_STEP_MS = 100;

/** The copy of this VM, which follows the store or the copy of another VM. */
export interface FollowedCopy {
  entries: ReadonlyMap<string, KeyValueEntry>;
  revision: number;
  /** Undefined if the copy may be outdated, because the store is not reachable. */
  describe(): CopySource | undefined;
}

const createFault = (step: string): Fault => ({
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step,
  message: 'this VM has no current copy of the store',
});

/** Answers the watches of other VMs from the copy that this VM keeps, so that they share its watch. */
export class WatchHub {
  private changes: KeyValueChange[] = [];

  /** Revision after which all changes are kept. */
  private firstRevision = Infinity;

  private readonly waiting = new Set<() => void>();

  private copy: FollowedCopy | undefined;

  /** Time of the last confirmation by the store of which the waiting watches were told. */
  private announcedAt = -Infinity;

  constructor(private readonly timer: Timer) {}

  /** Sets the copy from which the hub answers. */
  attach(copy: FollowedCopy): void {
    this.copy = copy;
  }

  /** Records an answer to this VM by the store, or by the VM whose copy it follows. */
  recordAnswer(changes: readonly KeyValueChange[], revision: number, isList: boolean): void {
    if (isList) {
      this.changes = [];
      this.firstRevision = revision;
    }
    this.changes.push(...changes);
    const excess = this.changes.length - MAX_CHANGES;
    if (excess > 0) {
      const removed = this.changes.splice(0, excess);
      this.firstRevision = removed.at(-1)!.entry.modRevision;
    }
    if (changes.length > 0 || this.isConfirmed()) this.wake();
  }

  /** Lists a page of entries in key order. */
  list(afterKey?: string): Reply<KeyValueList> {
    const { copy } = this;
    const source = copy?.describe();
    if (copy === undefined || source === undefined) {
      return Promise.resolve(err(createFault('list')));
    }
    const keys = [...copy.entries.keys()].toSorted().filter((key) => key > (afterKey ?? ''));
    const entries: KeyValueEntry[] = [];
    let size = 0;
    for (const key of keys) {
      const entry = copy.entries.get(key)!;
      size += entry.value.length;
      const isFull = entries.length >= MAX_PAGE_ENTRIES || size > MAX_PAGE_CHARACTERS;
      if (isFull && entries.length > 0) break;
      entries.push(entry);
    }
    const hasMore = entries.length < keys.length;
    return Promise.resolve(ok({ entries, revision: copy.revision, hasMore, source }));
  }

  /** Waits until there are changes after the revision, the copy is confirmed or the time has elapsed. */
  async watch(afterRevision: number, waitMs: number): Reply<WatchResult> {
    if (waitMs > 0 && !this.hasAnswer(afterRevision)) await this.waitForChange(waitMs);
    const { copy } = this;
    const source = copy?.describe();
    if (copy === undefined || source === undefined) return err(createFault('watch'));
    const compacted = afterRevision < this.firstRevision;
    const changes = compacted ? [] : this.listAfter(afterRevision);
    const revision = Math.max(copy.revision, afterRevision);
    return ok({ changes, revision, compacted, source });
  }

  /** True if the copy was confirmed since the last announcement; its readers then know its new age. */
  private isConfirmed(): boolean {
    const ageMs = this.copy?.describe()?.ageMs;
    return (
      ageMs !== undefined && this.timer.now() - ageMs - this.announcedAt >= MIN_CONFIRMATION_STEP_MS
    );
  }

  private hasAnswer(afterRevision: number): boolean {
    return (
      this.copy?.describe() === undefined ||
      afterRevision < this.firstRevision ||
      this.listAfter(afterRevision).length > 0
    );
  }

  private listAfter(revision: number): KeyValueChange[] {
    return this.changes.filter(({ entry }) => entry.modRevision > revision);
  }

  private waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const waiter = { wake: (): void => {} };
      const timeout = this.timer.after(waitMs, () => waiter.wake());
      waiter.wake = (): void => {
        this.waiting.delete(waiter.wake);
        timeout.cancel();
        resolve();
      };
      this.waiting.add(waiter.wake);
    });
  }

  private wake(): void {
    this.announcedAt = this.timer.now() - (this.copy?.describe()?.ageMs ?? Infinity);
    [...this.waiting].forEach((wake) => wake());
  }
}
