import type { Reply } from '@jujubelanding/errors';

export interface KeyValueEntry {
  key: string;
  value: string;
  /** Store revision of the last modification of this key. */
  modRevision: number;
  leaseId?: string;
}

/** Origin of an answer that another VM gave from its copy of the store's entries. */
export interface CopySource {
  /** Time since the store last answered the other VM, in milliseconds. */
  ageMs: number;
  /** Time since the other VM reached the store again after an outage; absent if there was none. */
  regainedMs?: number | undefined;
}

export interface KeyValueList {
  entries: KeyValueEntry[];
  /** Store revision at which the list was read. */
  revision: number;
  /** True if more entries follow after the last key; absent if the store does not paginate. */
  hasMore?: boolean;
  /** Absent if the store answered. */
  source?: CopySource;
}

export interface KeyValueWrite {
  key: string;
  value: string;
  /** Modification revision that the key must have; 0 if the key must not exist. */
  expectedRevision: number;
  /** The key is deleted when this lease ends. */
  leaseId?: string;
}

export enum WriteStatus {
  Written = 'written',
  Conflict = 'conflict',
}

export type WriteResult =
  | { status: WriteStatus.Written; revision: number }
  | { status: WriteStatus.Conflict; current?: KeyValueEntry };

export interface LeaseGrant {
  leaseId: string;
  ttlMs: number;
}

export enum ChangeKind {
  Put = 'put',
  Delete = 'delete',
}

export interface KeyValueChange {
  kind: ChangeKind;
  entry: KeyValueEntry;
}

export interface WatchResult {
  /** In order of revision; empty if nothing changed during the wait. */
  changes: KeyValueChange[];
  /** Revision up to which the changes under the prefix are complete. */
  revision: number;
  /** True if changes after the requested revision were compacted away; list the prefix again. */
  compacted: boolean;
  /** Absent if the store answered. */
  source?: CopySource;
}

/**
 * The platform's key-value service. After a fault with outcome `outcome-unknown` a write may have taken
 * effect; read the key to find out.
 */
export interface KeyValueStore {
  get(key: string): Reply<KeyValueEntry | undefined>;
  /** Lists entries under a prefix in key order, starting after `afterKey` if given. */
  list(prefix: string, limit?: number, afterKey?: string): Reply<KeyValueList>;
  write(write: KeyValueWrite): Reply<WriteResult>;
  remove(key: string, expectedRevision: number): Reply<WriteResult>;
  grantLease(ttlMs: number): Reply<LeaseGrant>;
  /** Fails with NotFound when the lease has ended. */
  renewLease(leaseId: string): Reply<LeaseGrant>;
  revokeLease(leaseId: string): Reply<void>;
  /** Waits up to `waitMs` for changes after the revision. */
  watch(prefix: string, afterRevision: number, waitMs: number): Reply<WatchResult>;
}

/** Largest value that the key-value service accepts. */
export const MAX_VALUE_BYTES = 1024 * 1024;
