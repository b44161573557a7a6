/** Paces attempts to acquire shards whose ownership key still exists. */
import type { Random } from '@jujubelanding/random';

/** Ownership keys of a dead VM disappear within the lease TTL, so first attempts are frequent. */
const MIN_INTERVAL_MS = 1000;
/**
 * In a long partition each side sees the shards of the other side without an owner. With shorter
 * intervals the VMs of a large fleet would use much of the key-value service's read rate.
 */
const MAX_INTERVAL_MS = 15_000;
/** The interval to the next attempt, as a fraction of the time waited so far. */
const INTERVAL_GROWTH = 0.2;

/** Increases the interval between attempts with the time for which shards have been wanted. */
export class AcquisitionPacer {
  private wanted = new Set<number>();

  private wantedSince = 0;

  private nextAt = 0;

  constructor(private readonly random: Random) {}

  /** True if an attempt is due; an attempt for a newly wanted shard is due immediately. */
  isDue(shards: readonly number[], now: number): boolean {
    if (shards.length === 0) return false;
    return now >= this.nextAt || shards.some((shard) => !this.wanted.has(shard));
  }

  recordAttempt(shards: readonly number[], now: number): void {
    if (shards.some((shard) => !this.wanted.has(shard))) this.wantedSince = now;
    this.wanted = new Set(shards);
    const interval = Math.min(
      Math.max((now - this.wantedSince) * INTERVAL_GROWTH, MIN_INTERVAL_MS),
      MAX_INTERVAL_MS,
    );
    this.nextAt = now + interval * (0.75 + this.random.next() / 2);
  }
}
