import type { Reply } from '@jujubelanding/errors';
import {
  ChangeKind,
  CommitStatus,
  type CommitResult,
  type KeyValueEntry,
  type Transaction,
  type TransactionalStore,
} from '@jujubelanding/platform';
import type { FollowedChange } from '@jujubelanding/store-follower';
import type { KeySpace } from './key-space.js';

export interface JobTransactionsOptions {
  store: Pick<TransactionalStore, 'commit'>;
  keys: KeySpace;
  /** Applies changes made by this process to the local copy before the watch reports them. */
  applyLocalChanges: (changes: FollowedChange[]) => void;
  leaseId: () => string | undefined;
  /** Called when the store reports that a lease has ended. */
  onLeaseEnded: (leaseId: string) => void;
}

/** Commits changes of jobs and applies their effects to the local copy without waiting for the watch. */
export class JobTransactions {
  constructor(private readonly options: JobTransactionsOptions) {}

  /** `onCommitted` is called before the changes are applied to the local copy. */
  async commit(transaction: Transaction, onCommitted?: () => void): Reply<CommitResult> {
    const { store, leaseId, onLeaseEnded } = this.options;
    const lease = leaseId();
    const reply = await store.commit(transaction);
    if (reply.isErr()) return reply;
    if (reply.value.status === CommitStatus.Committed) {
      onCommitted?.();
      const modRevision = reply.value.revision;
      const removed = transaction.removals.map((key) => ({ key, value: '', modRevision }));
      const written = transaction.writes.map((write) => ({ ...write, modRevision }));
      this.apply(ChangeKind.Put, written);
      this.apply(ChangeKind.Delete, removed);
    } else if (reply.value.status === CommitStatus.Conflict) {
      this.apply(ChangeKind.Put, reply.value.current);
    } else if (lease !== undefined) {
      onLeaseEnded(lease);
    }
    return reply;
  }

  /** Applies entries that were read from the store. */
  applyRead(entries: readonly KeyValueEntry[]): void {
    this.apply(ChangeKind.Put, entries);
  }

  /** Skips outputs and progress: no VM follows them, so keeping them would only use memory. */
  private apply(kind: ChangeKind, entries: readonly KeyValueEntry[]): void {
    const { applyLocalChanges, keys } = this.options;
    const followed = entries.filter(({ key }) => key.startsWith(keys.followedPrefix));
    if (followed.length > 0) applyLocalChanges(followed.map((entry) => ({ kind, entry })));
  }
}
