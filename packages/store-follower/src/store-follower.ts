import { getErrorMessage, Outcome, type Fault } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import {
  ChangeKind,
  type CopySource,
  type KeyValueChange,
  type KeyValueEntry,
  type TransactionalStore,
} from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';

/** Delay after the first failed call; doubles up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 100;

const MAX_RETRY_DELAY_MS = 400;

/**
 * Wait of a watch while the store is not reachable, and at least of any other. A watch without an answer
 * delays the next attempt by its wait and its timeout, also when the store is back meanwhile.
 */
const MIN_WAIT_MS = 1;

/** Two reports of a regained contact belong to the same event if their times differ by at most this. */
const SAME_EVENT_MS = 300;

/** Delay after a call that did not run, such as one beyond the rate limit of the store. */
const REFUSED_RETRY_DELAY_MS = 300;

/** Maximum number of keys in a log line. */
const MAX_LOGGED_KEYS = 10;

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
  /**
   * Maximum time that a watch call waits for changes, in milliseconds, together with the pause before it.
   * A copy that is current is never older than this and the duration of a call.
   */
  watchMs: number;
  /**
   * Pause after a watch that returned changes, so that frequent changes share a call, in milliseconds.
   */
  pauseMs: number;
  /** Called with the changes of one response, oldest first. */
  onChanges: (changes: FollowedChange[]) => void;
  /** Called with all changes of an answer, and the revision up to which the copy is complete. */
  onAnswer?: (changes: readonly KeyValueChange[], revision: number, isList: boolean) => void;
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

  /** Revision up to which the copy is complete. */
  revision = 0;

  private isReachable = true;

  /** Time at which the store was reached again after the last outage. */
  private regainedAt = -Infinity;

  private isStopped = false;

  /** Pause before the next call, in milliseconds. */
  private pausedMs = 0;

  /** Time of the last successful call, on the monotonic clock. */
  private lastSuccessAt = -Infinity;

  private failures = 0;

  /** Time of the first failed call of the current outage. */
  private lostAt = -Infinity;

  /** Revisions of deletions since the last list, so that late events do not restore deleted entries. */
  private readonly deletions = new Map<string, number>();

  constructor(private readonly options: StoreFollowerOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Milliseconds since the store last confirmed the copy. */
  ageMs(): number {
    return this.options.timer.now() - this.lastSuccessAt;
  }

  /** Describes this copy for VMs that read it instead of the store; undefined during an outage. */
  describe(): CopySource | undefined {
    if (!this.isLoaded || !this.isReachable) return undefined;
    const regainedMs = this.options.timer.now() - this.regainedAt;
    return { ageMs: this.ageMs(), ...(Number.isFinite(regainedMs) ? { regainedMs } : {}) };
  }

  /** Applies changes that this process made itself, before the watch reports them. */
  apply(changes: readonly KeyValueChange[]): void {
    const accepted = changes.filter((change) => this.applyIfNewer(change));
    if (accepted.length > 0) this.notify(accepted);
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
    let source: CopySource | undefined;
    for (;;) {
      const page = await store.list(prefix, undefined, afterKey);
      if (page.isErr()) return this.recordFailure(page.error);
      firstRevision ??= page.value.revision;
      source ??= page.value.source;
      listed.push(...page.value.entries);
      afterKey = page.value.entries.at(-1)?.key;
      if (page.value.hasMore !== true || afterKey === undefined) break;
    }
    this.recordSuccess(source);
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
    this.notify(accepted);
    this.options.onAnswer?.([], revision, true);
  }

  private async watch(): Promise<number> {
    const { store, prefix, watchMs, pauseMs, log } = this.options;
    const waitMs = this.isReachable ? Math.max(watchMs - this.pausedMs, MIN_WAIT_MS) : MIN_WAIT_MS;
    this.pausedMs = 0;
    const reply = await store.watch(prefix, this.revision, waitMs);
    if (this.isStopped) return 0;
    if (reply.isErr()) return this.recordFailure(reply.error);
    const { source } = reply.value;
    this.recordSuccess(source);
    if (reply.value.compacted) {
      log.write('history-gone', { prefix, revision: this.revision });
      this.isLoaded = false;
      return 0;
    }
    this.revision = Math.max(this.revision, reply.value.revision);
    const accepted = reply.value.changes.filter((change) => this.applyIfNewer(change));
    if (accepted.length > 0) this.notify(accepted);
    this.options.onAnswer?.(reply.value.changes, this.revision, false);
    // A copy is updated in pauses already.
    if (reply.value.changes.length > 0 && source === undefined) this.pausedMs = pauseMs;
    return this.pausedMs;
  }

  /** Reports changes; a handler that throws must not end the follower, which then would miss all others. */
  private notify(changes: FollowedChange[]): void {
    const { prefix, log, onChanges } = this.options;
    try {
      onChanges(changes);
    } catch (thrown) {
      const keys = changes.slice(0, MAX_LOGGED_KEYS).map(({ entry }) => entry.key);
      log.write('changes-not-handled', { prefix, keys, message: getErrorMessage(thrown) });
    }
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

  private recordSuccess(source?: CopySource): void {
    const now = this.options.timer.now();
    this.lastSuccessAt = now - (source?.ageMs ?? 0);
    const { failures } = this;
    this.failures = 0;
    const hasRegained = this.recordRegained(source, now);
    if (this.isReachable && !hasRegained) return;
    const outageMs = this.isReachable ? undefined : Math.round(now - this.lostAt);
    if (this.isReachable) this.options.onContact?.(false);
    else this.regainedAt = now;
    this.isReachable = true;
    const { prefix } = this.options;
    const isCopy = source !== undefined;
    this.options.log.write('store-regained', { prefix, outageMs, failures, isCopy });
    this.options.onContact?.(true);
  }

  /**
   * Returns true if the VM that holds the copy has reached the store again since its last answer, which
   * counts as an outage here as well.
   */
  private recordRegained(source: CopySource | undefined, now: number): boolean {
    if (source?.regainedMs === undefined) return false;
    const regainedAt = now - source.regainedMs;
    if (regainedAt <= this.regainedAt + SAME_EVENT_MS) return false;
    const isFirstAnswer = this.regainedAt === -Infinity && !this.isLoaded;
    this.regainedAt = regainedAt;
    return !isFirstAnswer;
  }

  /** Records a failed call; returns the delay before the next one. */
  private recordFailure(fault: Fault): number {
    this.failures += 1;
    if (this.isReachable) {
      this.isReachable = false;
      this.lostAt = this.options.timer.now();
      const { code, message } = fault;
      this.options.log.write('store-lost', { prefix: this.options.prefix, code, message });
      this.options.onContact?.(false);
    }
    if (fault.outcome === Outcome.NotRun) return REFUSED_RETRY_DELAY_MS;
    return Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (this.failures - 1));
  }
}
