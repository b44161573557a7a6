import { Outcome, type Fault } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import {
  ChangeKind,
  type KeyValueChange,
  type KeyValueEntry,
  type TransactionalStore,
} from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';

/** Delay after the first failed call; doubles up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 100;

const MAX_RETRY_DELAY_MS = 800;

/** Delay after a call that did not run, such as one beyond the rate limit of the store. */
const REFUSED_RETRY_DELAY_MS = 300;

export interface FollowedChange {
  kind: ChangeKind;
  /** The written entry; for a deletion, its value is empty. */
  entry: KeyValueEntry;
}

export interface StoreFollowerOptions {
  store: Pick<TransactionalStore, 'list' | 'watch'>;
  timer: Timer;
  log: Log;
  prefix: string;
  /** Maximum time that a watch call waits for changes, in milliseconds. */
  watchMs: number;
  /**
   * Pause after a watch that returned changes, so that frequent changes share a call, in milliseconds.
   */
  pauseMs: number;
  /** Called with the changes of one response, oldest first. */
  onChanges: (changes: FollowedChange[]) => void;
  /** Called when the store becomes unreachable or reachable again. */
  onContact?: (isReachable: boolean) => void;
}

/**
 * Lists the keys under a prefix and then watches them from the revision of the list. When the store has
 * compacted the history, the keys are listed again and the differences are reported as changes. Entries
 * never return to an older revision.
 */
export class StoreFollower {
  readonly entries = new Map<string, KeyValueEntry>();

  /** True once the whole prefix has been read. */
  isLoaded = false;

  private revision = 0;

  private isReachable = true;

  private isStopped = false;

  /** Time of the last successful call, on the monotonic clock. */
  private lastSuccessAt = -Infinity;

  private failures = 0;

  /** Revisions of deletions since the last list, so that late events do not restore deleted entries. */
  private readonly deletions = new Map<string, number>();

  constructor(private readonly options: StoreFollowerOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Milliseconds since the last successful call. */
  ageMs(): number {
    return this.options.timer.now() - this.lastSuccessAt;
  }

  /** Applies changes that this process made itself, before the watch reports them. */
  apply(changes: readonly KeyValueChange[]): void {
    const accepted = changes.filter((change) => this.applyIfNewer(change));
    if (accepted.length > 0) this.options.onChanges(accepted);
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const delayMs = this.isLoaded ? await this.watch() : await this.list();
      if (delayMs > 0) await this.options.timer.sleep(delayMs);
    }
  }

  /** Lists all pages; returns the delay before the next call. */
  private async list(): Promise<number> {
    const { store, prefix } = this.options;
    const listed: KeyValueEntry[] = [];
    let firstRevision: number | undefined;
    let afterKey: string | undefined;
    for (;;) {
      const page = await store.list(prefix, undefined, afterKey);
      if (page.isErr()) return this.recordFailure(page.error);
      firstRevision ??= page.value.revision;
      listed.push(...page.value.entries);
      afterKey = page.value.entries.at(-1)?.key;
      if (page.value.hasMore !== true || afterKey === undefined) break;
    }
    this.recordSuccess();
    this.replace(listed, firstRevision);
    return 0;
  }

  /**
   * Replaces the entries by those of a list. Its pages are not one snapshot, so the next watch starts
   * at the revision of the first page.
   */
  private replace(listed: readonly KeyValueEntry[], revision: number): void {
    const keys = new Set(listed.map(({ key }) => key));
    const removed = [...this.entries.values()]
      .filter(({ key, modRevision }) => !keys.has(key) && modRevision <= revision)
      .map(({ key }) => ({
        kind: ChangeKind.Delete,
        entry: { key, value: '', modRevision: revision },
      }));
    const puts = listed.map((entry) => ({ kind: ChangeKind.Put, entry }));
    this.revision = Math.max(this.revision, revision);
    const accepted = [...removed, ...puts].filter((change) => this.applyIfNewer(change));
    this.deletions.clear();
    this.isLoaded = true;
    this.options.onChanges(accepted);
  }

  private async watch(): Promise<number> {
    const { store, prefix, watchMs, pauseMs, log } = this.options;
    const reply = await store.watch(prefix, this.revision, watchMs);
    if (this.isStopped) return 0;
    if (reply.isErr()) return this.recordFailure(reply.error);
    this.recordSuccess();
    if (reply.value.compacted) {
      log.write('history-gone', { prefix, revision: this.revision });
      this.isLoaded = false;
      return 0;
    }
    this.revision = Math.max(this.revision, reply.value.revision);
    const accepted = reply.value.changes.filter((change) => this.applyIfNewer(change));
    if (accepted.length > 0) this.options.onChanges(accepted);
    return reply.value.changes.length > 0 ? pauseMs : 0;
  }

  /** Applies a change to the entries; returns false if it changes nothing, such as an older revision. */
  private applyIfNewer({ kind, entry }: KeyValueChange): boolean {
    const knownRevision =
      this.entries.get(entry.key)?.modRevision ?? this.deletions.get(entry.key) ?? 0;
    if (entry.modRevision <= knownRevision) return false;
    if (kind === ChangeKind.Put) {
      this.entries.set(entry.key, entry);
      this.deletions.delete(entry.key);
      return true;
    }
    this.deletions.set(entry.key, entry.modRevision);
    return this.entries.delete(entry.key);
  }

  private recordSuccess(): void {
    this.lastSuccessAt = this.options.timer.now();
    this.failures = 0;
    if (this.isReachable) return;
    this.isReachable = true;
    this.options.log.write('store-regained', { prefix: this.options.prefix });
    this.options.onContact?.(true);
  }

  /** Records a failed call; returns the delay before the next one. */
  private recordFailure(fault: Fault): number {
    this.failures += 1;
    if (this.isReachable) {
      this.isReachable = false;
      const { code, message } = fault;
      this.options.log.write('store-lost', { prefix: this.options.prefix, code, message });
      this.options.onContact?.(false);
    }
    if (fault.outcome === Outcome.NotRun) return REFUSED_RETRY_DELAY_MS;
    return Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (this.failures - 1));
  }
}
