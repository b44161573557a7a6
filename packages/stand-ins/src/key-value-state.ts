/** State of the key-value service: revisions, leases, watches and compaction. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import {
  ChangeKind,
  CommitStatus,
  MAX_TRANSACTION_ENTRIES,
  MAX_VALUE_BYTES,
  WriteStatus,
  type KeyValueChange,
  type CommitResult,
  type KeyValueEntry,
  type KeyValueList,
  type LeaseGrant,
  type Transaction,
  type WatchResult,
  type KeyValueWrite,
  type WriteResult,
} from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';

interface Lease {
  ttlMs: number;
  expiry: Subscription;
  keys: Set<string>;
}

interface Watcher {
  prefix: string;
  afterRevision: number;
  resolve: (result: WatchResult) => void;
  timeout?: Subscription;
}

/** Number of changes kept for watches; older changes are compacted. */
export const DEFAULT_HISTORY_LIMIT = 10_000;

const errNotRun = (step: string, code: FaultCode, message: string): Result<never, Fault> =>
  err({ code, outcome: Outcome.NotRun, step, peer: 'key-value', message });

export class KeyValueState {
  private readonly entries = new Map<string, KeyValueEntry>();

  private readonly leases = new Map<string, Lease>();

  private readonly watchers = new Set<Watcher>();

  private history: KeyValueChange[] = [];

  private revision = 0;

  private compactedRevision = 0;

  /** Sorted keys; undefined after an insertion or removal until the next list call. */
  private sortedKeys: string[] | undefined = [];

  constructor(
    private readonly timer: Timer,
    private readonly random: Random,
    private readonly historyLimit = DEFAULT_HISTORY_LIMIT,
  ) {}

  get(key: string): KeyValueEntry | undefined {
    return this.entries.get(key);
  }

  list(prefix: string, limit = Infinity, afterKey?: string): KeyValueList {
    this.sortedKeys ??= [...this.entries.keys()].toSorted();
    const entries: KeyValueEntry[] = [];
    for (const key of this.sortedKeys) {
      if (entries.length >= limit) break;
      if (key.startsWith(prefix) && (afterKey === undefined || key > afterKey)) {
        entries.push(this.entries.get(key)!);
      }
    }
    return { entries, revision: this.revision };
  }

  write(write: KeyValueWrite): Result<WriteResult, Fault> {
    if (Buffer.byteLength(write.value) > MAX_VALUE_BYTES) {
      return errNotRun('write', FaultCode.TooLarge, `value of ${write.key} exceeds the limit`);
    }
    if (write.leaseId !== undefined && !this.leases.has(write.leaseId)) {
      return errNotRun('write', FaultCode.NotFound, `lease ${write.leaseId} has ended`);
    }
    const current = this.entries.get(write.key);
    if ((current?.modRevision ?? 0) !== write.expectedRevision) {
      return ok({ status: WriteStatus.Conflict, current });
    }
    const { key, value, leaseId } = write;
    this.revision += 1;
    const entry: KeyValueEntry = { key, value, modRevision: this.revision };
    if (leaseId !== undefined) entry.leaseId = leaseId;
    this.putEntry(entry);
    this.notifyWatchers();
    return ok({ status: WriteStatus.Written, revision: this.revision });
  }

  remove(key: string, expectedRevision: number): Result<WriteResult, Fault> {
    const current = this.entries.get(key);
    if (current === undefined || current.modRevision !== expectedRevision) {
      return ok({ status: WriteStatus.Conflict, current });
    }
    this.deleteEntry(current);
    this.notifyWatchers();
    return ok({ status: WriteStatus.Written, revision: this.revision });
  }

  /** Applies all changes of a transaction under one revision, or none of them. */
  commit({ conditions, writes, removals }: Transaction): Result<CommitResult, Fault> {
    if (conditions.length + writes.length + removals.length > MAX_TRANSACTION_ENTRIES) {
      return errNotRun('commit', FaultCode.InvalidInput, 'the transaction has too many entries');
    }
    if (writes.some(({ value }) => Buffer.byteLength(value) > MAX_VALUE_BYTES)) {
      return errNotRun('commit', FaultCode.TooLarge, 'a value exceeds the limit');
    }
    const hasEndedLease = ({ leaseId }: { leaseId?: string | undefined }): boolean =>
      leaseId !== undefined && !this.leases.has(leaseId);
    if (writes.some(hasEndedLease)) return ok({ status: CommitStatus.LeaseEnded });
    const conditionsHold = conditions.every(
      ({ key, revision }) => (this.entries.get(key)?.modRevision ?? 0) === revision,
    );
    if (!conditionsHold) {
      const current = conditions.map(({ key }) => this.entries.get(key));
      return ok({
        status: CommitStatus.Conflict,
        current: current.filter((entry) => entry !== undefined),
      });
    }
    this.revision += 1;
    const { revision } = this;
    writes.forEach(({ key, value, leaseId }) => {
      this.putEntry({
        key,
        value,
        modRevision: revision,
        ...(leaseId === undefined ? {} : { leaseId }),
      });
    });
    removals.forEach((key) => {
      const entry = this.entries.get(key);
      if (entry !== undefined) this.deleteAtRevision(entry, revision);
    });
    this.notifyWatchers();
    return ok({ status: CommitStatus.Committed, revision });
  }

  grantLease(ttlMs: number): LeaseGrant {
    const leaseId = this.random.createId();
    const expiry = this.timer.after(ttlMs, () => this.endLease(leaseId));
    this.leases.set(leaseId, { ttlMs, expiry, keys: new Set() });
    return { leaseId, ttlMs };
  }

  renewLease(leaseId: string): Result<LeaseGrant, Fault> {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) {
      return errNotRun('renewLease', FaultCode.NotFound, `lease ${leaseId} has ended`);
    }
    lease.expiry.cancel();
    lease.expiry = this.timer.after(lease.ttlMs, () => this.endLease(leaseId));
    return ok({ leaseId, ttlMs: lease.ttlMs });
  }

  endLease(leaseId: string): void {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return;
    this.leases.delete(leaseId);
    lease.expiry.cancel();
    for (const key of lease.keys) this.deleteEntry(this.entries.get(key)!);
    this.notifyWatchers();
  }

  watch(prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult> {
    if (afterRevision < this.compactedRevision) {
      return Promise.resolve({ changes: [], revision: this.revision, compacted: true });
    }
    const changes = this.listChangesAfter(prefix, afterRevision);
    if (changes.length > 0 || waitMs <= 0) {
      return Promise.resolve({ changes, revision: this.revision, compacted: false });
    }
    return new Promise((resolve) => {
      const watcher: Watcher = { prefix, afterRevision, resolve };
      watcher.timeout = this.timer.after(waitMs, () => {
        this.watchers.delete(watcher);
        resolve({ changes: [], revision: this.revision, compacted: false });
      });
      this.watchers.add(watcher);
    });
  }

  /** Discards the history, so that watches from older revisions must list again. */
  compact(): void {
    this.history = [];
    this.compactedRevision = this.revision;
  }

  private listChangesAfter(prefix: string, afterRevision: number): KeyValueChange[] {
    return this.history
      .slice(this.findFirstChangeAfter(afterRevision))
      .filter(({ entry }) => entry.key.startsWith(prefix));
  }

  /** Returns the index of the first change after a revision; changes of one transaction share a revision. */
  private findFirstChangeAfter(afterRevision: number): number {
    let low = 0;
    let high = this.history.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.history[middle]!.entry.modRevision > afterRevision) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  private putEntry(entry: KeyValueEntry): void {
    const current = this.entries.get(entry.key);
    if (current === undefined) this.sortedKeys = undefined;
    this.detachFromLease(current);
    this.entries.set(entry.key, entry);
    if (entry.leaseId !== undefined) this.leases.get(entry.leaseId)!.keys.add(entry.key);
    this.publish({ kind: ChangeKind.Put, entry });
  }

  private deleteEntry(entry: KeyValueEntry): void {
    this.revision += 1;
    this.deleteAtRevision(entry, this.revision);
  }

  private deleteAtRevision(entry: KeyValueEntry, revision: number): void {
    this.detachFromLease(entry);
    this.entries.delete(entry.key);
    this.sortedKeys = undefined;
    this.publish({
      kind: ChangeKind.Delete,
      entry: { ...entry, value: '', modRevision: revision },
    });
  }

  private detachFromLease(entry: KeyValueEntry | undefined): void {
    if (entry?.leaseId !== undefined) this.leases.get(entry.leaseId)?.keys.delete(entry.key);
  }

  /** Answers waiting watches with all changes of a transaction, which share a revision. */
  private notifyWatchers(): void {
    for (const watcher of this.watchers) {
      const changes = this.listChangesAfter(watcher.prefix, watcher.afterRevision);
      if (changes.length > 0) {
        this.watchers.delete(watcher);
        watcher.timeout?.cancel();
        watcher.resolve({ changes, revision: this.revision, compacted: false });
      }
    }
  }

  private publish(change: KeyValueChange): void {
    this.history.push(change);
    if (this.history.length > this.historyLimit) {
      const removed = this.history.splice(0, Math.ceil(this.historyLimit / 2));
      this.compactedRevision = removed.at(-1)!.entry.modRevision;
    }
  }
}
