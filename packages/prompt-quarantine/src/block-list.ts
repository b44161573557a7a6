/** Blocked combinations of prompt parts, and blocked requests, on this VM. Times are passed in. */
import { isRequestKey } from './request-key.js';

/**
 * A combination stays blocked until no request with it has come for this long. A request stays blocked for
 * this long, so that callers that come again after Retry-After do not prolong its block.
 */
export const BLOCK_MS = 600_000;

const SEPARATOR = '+';

export const toBlockId = (parts: readonly string[]): string => parts.toSorted().join(SEPARATOR);

export const parseBlockId = (id: string): string[] => id.split(SEPARATOR);

export interface Block {
  id: string;
  /** A request is refused if it has all of them. */
  parts: readonly string[];
  /** Time of the block or, for combinations, of the last request with it on a VM that stored it. */
  renewedAt: number;
  /** Time of the last request that was refused on this VM. */
  lastHitAt: number;
  /** Time since which the block is not in the store; undefined if it is. */
  unstoredSince: number | undefined;
}

export class BlockList {
  private readonly blocks = new Map<string, Block>();

  get isEmpty(): boolean {
    return this.blocks.size === 0;
  }

  /** Blocks a combination of parts; returns false if it is blocked already. */
  add(id: string, now: number): boolean {
    if (this.blocks.has(id)) return false;
    const parts = parseBlockId(id);
    this.blocks.set(id, { id, parts, renewedAt: now, lastHitAt: -Infinity, unstoredSince: now });
    return true;
  }

  /**
   * Records a stored block, also one of another VM, with the time at which it began or was renewed; returns
   * true if it is new.
   */
  recordStored(id: string, renewedAt: number): boolean {
    const isNew = this.add(id, renewedAt);
    const block = this.blocks.get(id)!;
    block.unstoredSince = undefined;
    block.renewedAt = Math.max(block.renewedAt, renewedAt);
    return isNew;
  }

  /** Records that the stored block is gone, for example with its lease; it stays in force here. */
  recordMissing(id: string, now: number): void {
    const block = this.blocks.get(id);
    if (block !== undefined) block.unstoredSince ??= now;
  }

  has(id: string): boolean {
    return this.blocks.has(id);
  }

  get(id: string): Block | undefined {
    return this.blocks.get(id);
  }

  remove(id: string): void {
    this.blocks.delete(id);
  }

  /** Lists the blocks that apply to a request with these parts. */
  findAll(parts: readonly string[]): Block[] {
    return this.list().filter((block) => block.parts.every((part) => parts.includes(part)));
  }

  list(): Block[] {
    return [...this.blocks.values()];
  }

  prune(now: number): void {
    this.list()
      .filter((block) => this.remainingMs(block, now) <= 0)
      .forEach(({ id }) => this.blocks.delete(id));
  }

  /** Time until the block ends if no further request comes. */
  remainingMs({ id, renewedAt, lastHitAt }: Block, now: number): number {
    const since = isRequestKey(id) ? renewedAt : Math.max(renewedAt, lastHitAt);
    return since + BLOCK_MS - now;
  }
}
