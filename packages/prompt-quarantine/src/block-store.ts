import type { Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { CommitStatus, type CommitResult, type TransactionalStore } from '@jujubelanding/platform';
import { err } from 'neverthrow';
import { BLOCK_MS, type Block } from './block-list.js';

/** A stored block is renewed after this time if requests to which it applies still come. */
const RENEWAL_MS = BLOCK_MS / 2;

/**
 * VMs that do not rank first wait this long for each one before them. The first one may have come to another
 * conclusion from the same crashes, so the wait is short.
 */
const TAKEOVER_MS = 100;

export interface BlockStoreOptions {
  log: Log;
  store: Pick<TransactionalStore, 'commit' | 'grantLease'>;
  prefix: string;
}

export enum BlockState {
  Blocked = 'blocked',
  Released = 'released',
}

/** Returns undefined for a value that is not a state. */
export const decodeBlockState = (value: string): BlockState | undefined =>
  Object.values(BlockState).find((state) => String(state) === value);

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
    { unstoredSince, renewedAt, lastHitAt }: Block,
    readRank: () => number,
    now: number,
  ): boolean {
    const isRenewal = unstoredSince === undefined;
    if (isRenewal && lastHitAt <= renewedAt) return false;
    const overdueMs = isRenewal ? now - renewedAt - RENEWAL_MS : now - unstoredSince;
    return overdueMs >= 0 && overdueMs >= readRank() * TAKEOVER_MS;
  }

  /** Stores the state of a block; returns whether it was stored. */
  write(blockId: string, state: BlockState): Promise<boolean> {
    const former = this.writes.get(blockId) ?? Promise.resolve(true);
    const write = former.then(() => this.tryWrite(blockId, state));
    this.writes.set(blockId, write);
    return write.finally(() => {
      if (this.writes.get(blockId) === write) this.writes.delete(blockId);
    });
  }

  isWriting(blockId: string): boolean {
    return this.writes.has(blockId);
  }

  private async tryWrite(blockId: string, state: BlockState): Promise<boolean> {
    const committed = await this.commit(blockId, state);
    if (committed.isOk() && committed.value.status === CommitStatus.Committed) return true;
    const code = committed.isErr() ? committed.error.code : committed.value.status;
    this.options.log.write('block-not-stored', { block: blockId, state, code });
    return false;
  }

  private async commit(blockId: string, value: BlockState): Reply<CommitResult> {
    const { store, prefix } = this.options;
    const lease = await store.grantLease(BLOCK_MS);
    if (lease.isErr()) return err(lease.error);
    const write = { key: `${prefix}${blockId}`, value, leaseId: lease.value.leaseId };
    return store.commit({ conditions: [], writes: [write], removals: [] });
  }
}
