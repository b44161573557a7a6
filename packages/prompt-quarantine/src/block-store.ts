import type { Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { CommitStatus, type CommitResult, type TransactionalStore } from '@jujubelanding/platform';
import { err } from 'neverthrow';
import { BLOCK_MS, type Block } from './block-list.js';
import { isRequestKey } from './request-key.js';

/** A stored block is renewed after this time if requests to which it applies still come. */
const RENEWAL_MS = BLOCK_MS / 2;

/**
 * VMs that do not rank first wait this long for each one before them. The first one may have come to another
 * conclusion from the same crashes, so the wait is short.
 */
const TAKEOVER_MS = 100;

/** The stored block of a request expires by itself, so it is not stored again when it ends this soon. */
const MIN_STORED_MS = 5000;

/** Separates the state of a block from the time at which it began, in epoch milliseconds. */
const SEPARATOR = ' ';

export interface BlockStoreOptions {
  log: Log;
  store: Pick<TransactionalStore, 'commit' | 'grantLease'>;
  prefix: string;
}

export enum BlockState {
  Blocked = 'blocked',
  Released = 'released',
}

export interface StoredBlock {
  state: BlockState;
  /** Time at which the block of a request began, in epoch milliseconds. */
  beganAt: number | undefined;
}

/** Returns undefined for a value that cannot be read. */
export const decodeStoredBlock = (value: string): StoredBlock | undefined => {
  const [name, time, ...others] = value.split(SEPARATOR);
  const state = Object.values(BlockState).find((known) => String(known) === name);
  const beganAt = time === undefined ? undefined : Number(time);
  if (state === undefined || others.length > 0 || Number.isNaN(beganAt)) return undefined;
  return { state, beganAt };
};

/** When the block of a request began, in epoch milliseconds, and how long it still lasts. */
export interface BlockStart {
  at: number;
  remainingMs: number;
}

/**
 * Stores blocks for VMs that start later. Each has a lease of its own, so that it disappears some time after
 * the last request to which it applied.
 */
export class BlockStore {
  /** The last write of each block, so that writes of one block are made in order. */
  private readonly writes = new Map<string, Promise<boolean>>();

  constructor(private readonly options: BlockStoreOptions) {}

  /**
   * True if this VM should store the block. Its rank among the VMs is read only if any VM should, since it
   * is compared with all of them.
   */
  isDue(
    { id, unstoredSince, renewedAt, lastHitAt }: Block,
    readRank: () => number,
    now: number,
  ): boolean {
    const isRenewal = unstoredSince === undefined;
    if (isRenewal && (isRequestKey(id) || lastHitAt <= renewedAt)) return false;
    if (isRequestKey(id) && renewedAt + BLOCK_MS - now < MIN_STORED_MS) return false;
    const overdueMs = isRenewal ? now - renewedAt - RENEWAL_MS : now - unstoredSince;
    return overdueMs >= 0 && overdueMs >= readRank() * TAKEOVER_MS;
  }

  /** Stores the state of a block, which may have begun earlier; returns whether it was stored. */
  write(blockId: string, state: BlockState, began?: BlockStart): Promise<boolean> {
    const former = this.writes.get(blockId) ?? Promise.resolve(true);
    const write = former.then(() => this.tryWrite(blockId, state, began));
    this.writes.set(blockId, write);
    return write.finally(() => {
      if (this.writes.get(blockId) === write) this.writes.delete(blockId);
    });
  }

  isWriting(blockId: string): boolean {
    return this.writes.has(blockId);
  }

  private async tryWrite(
    blockId: string,
    state: BlockState,
    began: BlockStart | undefined,
  ): Promise<boolean> {
    const committed = await this.commit(blockId, state, began);
    if (committed.isOk() && committed.value.status === CommitStatus.Committed) return true;
    const code = committed.isErr() ? committed.error.code : committed.value.status;
    this.options.log.write('block-not-stored', { block: blockId, state, code });
    return false;
  }

  private async commit(
    blockId: string,
    state: BlockState,
    began: BlockStart | undefined,
  ): Reply<CommitResult> {
    const { store, prefix } = this.options;
    const value = began === undefined ? state : `${state}${SEPARATOR}${Math.round(began.at)}`;
    const lease = await store.grantLease(began?.remainingMs ?? BLOCK_MS);
    if (lease.isErr()) return err(lease.error);
    const write = { key: `${prefix}${blockId}`, value, leaseId: lease.value.leaseId };
    return store.commit({ conditions: [], writes: [write], removals: [] });
  }
}
