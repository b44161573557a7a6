import type { Reply } from '@jujubelanding/errors';
import type { KeyValueEntry, KeyValueList, KeyValueStore } from './key-value-store.js';

/** Modification revision that a key must have; 0 if the key must not exist. */
export interface TransactionCondition {
  key: string;
  revision: number;
}

export interface TransactionWrite {
  key: string;
  value: string;
  /** The key is deleted when this lease ends. */
  leaseId?: string | undefined;
}

/** Changes that are applied atomically if all conditions hold. */
export interface Transaction {
  conditions: TransactionCondition[];
  writes: TransactionWrite[];
  /** Keys to delete. */
  removals: string[];
}

export enum CommitStatus {
  Committed = 'committed',
  Conflict = 'conflict',
  LeaseEnded = 'lease-ended',
}

export type CommitResult =
  | { status: CommitStatus.Committed; revision: number }
  /** `current`: the existing entries under the keys of the conditions. */
  | { status: CommitStatus.Conflict; current: KeyValueEntry[] }
  | { status: CommitStatus.LeaseEnded };

/** Maximum number of conditions, writes and removals in one transaction. */
export const MAX_TRANSACTION_ENTRIES = 32;

/**
 * A key-value store with transactions. After a fault with outcome `outcome-unknown` a commit may have
 * taken effect, or may still do so as long as its conditions hold.
 */
export interface TransactionalStore extends Pick<
  KeyValueStore,
  'get' | 'list' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch'
> {
  commit(transaction: Transaction): Reply<CommitResult>;
  /** Like `list`, at a tenth of its price; the entries may be seconds old. */
  listStale(prefix: string, afterKey?: string): Reply<KeyValueList>;
}
