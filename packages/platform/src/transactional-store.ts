import type { Reply } from '@jujubelanding/errors';
import type { KeyValueEntry, KeyValueStore } from './key-value-store.js';

/** Revision that a key must have; 0 for a key that must not exist. */
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

/** Changes that take effect together, if all conditions hold. */
export interface Transaction {
  conditions: TransactionCondition[];
  writes: TransactionWrite[];
  /** Keys that are deleted. */
  removals: string[];
}

export enum CommitStatus {
  Committed = 'committed',
  Conflict = 'conflict',
  LeaseEnded = 'lease-ended',
}

export type CommitResult =
  | { status: CommitStatus.Committed; revision: number }
  /** The entries that exist under the keys of the conditions. */
  | { status: CommitStatus.Conflict; current: KeyValueEntry[] }
  | { status: CommitStatus.LeaseEnded };

/** Largest number of conditions, writes and removals in one transaction. */
export const MAX_TRANSACTION_ENTRIES = 32;

/**
 * A key-value store with transactions. A fault with outcome `outcome-unknown` means that a commit may
 * have taken effect or may still do so while its conditions hold.
 */
export interface TransactionalStore extends Pick<
  KeyValueStore,
  'get' | 'list' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch'
> {
  commit(transaction: Transaction): Reply<CommitResult>;
}
