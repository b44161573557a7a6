/** Bounded prefix cache of an engine; its events are published with a delay, and some are lost. */
import { computePrefixHashes, PREFIX_BLOCK_CHARACTERS } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { CacheEventKind, type CacheEvent, type Message } from '@jujubelanding/types';
import { convertCharactersToTokens } from './answer.js';
import type { EngineSettings } from './settings.js';

/** Events kept when older ones are dropped; a reader that is further behind sees a gap. */
const MAX_KEPT_EVENTS = 1024;

export class PrefixCache {
  /** Block hashes, least recently used first. */
  private readonly blocks = new Set<string>();

  private events: { publishAt: number; event: CacheEvent }[] = [];

  private sequence = 0;

  constructor(
    private readonly timer: Timer,
    private readonly random: Random,
    private readonly settings: EngineSettings,
  ) {}

  /** Stores the prompt's blocks and returns the number of prompt tokens that were already cached. */
  cachePrompt(messages: readonly Message[]): number {
    const hashes = computePrefixHashes(messages);
    const firstMissing = hashes.findIndex((hash) => !this.blocks.has(hash));
    const cachedBlocks = firstMissing === -1 ? hashes.length : firstMissing;
    // Refreshed from the last block to the first, so that later blocks are evicted first: a block is
    // useless without its predecessors.
    for (const hash of hashes.toReversed()) this.storeOrRefresh(hash);
    this.evictExcess();
    return convertCharactersToTokens(cachedBlocks * PREFIX_BLOCK_CHARACTERS);
  }

  /** Returns the published events after a sequence number. */
  readEvents(afterSequence: number): CacheEvent[] {
    const now = this.timer.now();
    return this.events
      .filter(({ publishAt, event }) => publishAt <= now && event.sequence > afterSequence)
      .map(({ event }) => event);
  }

  clear(): void {
    for (const hash of this.blocks) this.publish(CacheEventKind.Evicted, hash);
    this.blocks.clear();
  }

  private storeOrRefresh(hash: string): void {
    if (!this.blocks.delete(hash)) this.publish(CacheEventKind.Stored, hash);
    this.blocks.add(hash);
  }

  private evictExcess(): void {
    for (const hash of this.blocks) {
      if (this.blocks.size <= this.settings.prefixCacheBlocks) return;
      this.blocks.delete(hash);
      this.publish(CacheEventKind.Evicted, hash);
    }
  }

  private publish(kind: CacheEventKind, prefixHash: string): void {
    this.sequence += 1;
    if (this.random.next() < this.settings.cacheEventLossChance) return;
    const publishAt = this.timer.now() + this.settings.cacheEventDelayMs;
    this.events.push({ publishAt, event: { sequence: this.sequence, kind, prefixHash } });
    if (this.events.length > 2 * MAX_KEPT_EVENTS) this.events = this.events.slice(-MAX_KEPT_EVENTS);
  }
}
