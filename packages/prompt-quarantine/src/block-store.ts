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
  private readonly writes = new Map<string, Promise<number | undefined>>();

  constructor(private readonly options: BlockStoreOptions) {}

  /** True if this VM, with its rank among the VMs for the block, should store the block. */
  isDue({ revision, renewedAt, lastHitAt }: Block, rank: number, now: number): boolean {
    const waitMs = rank * TAKEOVER_MS;
    if (revision === 0) return now - renewedAt >= waitMs;
    return lastHitAt > renewedAt && now - renewedAt >= RENEWAL_MS + waitMs;
  }

  /** Stores the state of a block; returns the revision, or undefined if it was not stored. */
  write(blockId: string, isBlocked: boolean): Promise<number | undefined> {
    const value = isBlocked ? BlockState.Blocked : BlockState.Released;
    const former = this.writes.get(blockId) ?? Promise.resolve(undefined);
    const write = former.then(() => this.tryWrite(blockId, value));
    this.writes.set(blockId, write);
    return write.finally(() => {
      if (this.writes.get(blockId) === write) this.writes.delete(blockId);
    });
  }

  isWriting(blockId: string): boolean {
    return this.writes.has(blockId);
  }

  private async tryWrite(blockId: string, value: BlockState): Promise<number | undefined> {
    const committed = await this.commit(blockId, value);
    if (committed.isOk() && committed.value.status === CommitStatus.Committed) {
      return committed.value.revision;
    }
    const code = committed.isErr() ? committed.error.code : committed.value.status;
    this.options.log.write('block-not-stored', { block: blockId, code });
    return undefined;
  }

  private async commit(blockId: string, value: BlockState): Reply<CommitResult> {
    const { store, prefix } = this.options;
    const lease = await store.grantLease(BLOCK_MS);
    if (lease.isErr()) return err(lease.error);
    const write = { key: `${prefix}${blockId}`, value, leaseId: lease.value.leaseId };
    return store.commit({ conditions: [], writes: [write], removals: [] });
  }
}
