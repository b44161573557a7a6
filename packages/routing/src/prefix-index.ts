/** Index of the prompt prefixes that workers have cached. */
import { CacheEventKind, type CacheEvent } from '@jujubelanding/types';

/** Prefixes kept per worker; the least recently added is dropped first. */
const MAX_PREFIXES_PER_WORKER = 2000;

/**
 * Entries added for completions of this VM expire after this time, since the worker's evictions
 * may be missed.
 */
const COMPLETION_LIFETIME_MS = 300_000;

interface WorkerPrefixes {
  /** Expiry time by prefix hash, least recently added first; adding again counts. */
  prefixes: Map<string, number>;
  lastSequence: number;
}

/** Cached prefixes of all workers; a routing hint, not needed for correctness. */
export class PrefixIndex {
  private readonly workers = new Map<string, WorkerPrefixes>();

  /** Returns how many leading prefixes of a prompt the worker has probably cached. */
  match(workerId: string, prefixes: readonly string[], now: number): number {
    const entry = this.workers.get(workerId);
    if (entry === undefined) return 0;
    for (let count = prefixes.length; count > 0; count -= 1) {
      if ((entry.prefixes.get(prefixes[count - 1]!) ?? 0) > now) return count;
    }
    return 0;
  }

  /** Records that a worker has processed a prompt. */
  addCompletion(workerId: string, prefixes: readonly string[], now: number): void {
    const entry = this.findOrCreate(workerId);
    for (const prefix of prefixes) this.add(entry, prefix, now + COMPLETION_LIFETIME_MS);
  }

  /** Removes a prompt's prefixes after the worker found none of them in its cache. */
  removeMissed(workerId: string, prefixes: readonly string[]): void {
    const entry = this.workers.get(workerId);
    prefixes.forEach((prefix) => entry?.prefixes.delete(prefix));
  }

  /**
   * Applies the events of a poll that requested those after `afterSequence`. A gap may hide evictions
   * of any prefix indexed before it, so all of them are dropped.
   */
  applyEvents(workerId: string, events: readonly CacheEvent[], afterSequence: number): void {
    const entry = this.findOrCreate(workerId);
    const last = events.at(-1)?.sequence;
    // A restarted worker, polled from the start, returns only sequence numbers below the last one.
    if (afterSequence === 0 && (last ?? 0) < entry.lastSequence) this.reset(entry);
    for (const event of events) {
      if (event.sequence <= entry.lastSequence) continue;
      if (event.sequence > entry.lastSequence + 1) entry.prefixes.clear();
      entry.lastSequence = event.sequence;
      if (event.kind === CacheEventKind.Stored) this.add(entry, event.prefixHash, Infinity);
      else entry.prefixes.delete(event.prefixHash);
    }
  }

  /** Removes a worker that is no longer listed. */
  remove(workerId: string): void {
    this.workers.delete(workerId);
  }

  /** Removes workers that are no longer listed. */
  retain(isListed: (workerId: string) => boolean): void {
    for (const workerId of this.workers.keys()) {
      if (!isListed(workerId)) this.workers.delete(workerId);
    }
  }

  private findOrCreate(workerId: string): WorkerPrefixes {
    const entry = this.workers.get(workerId) ?? { prefixes: new Map(), lastSequence: 0 };
    this.workers.set(workerId, entry);
    return entry;
  }

  private reset(entry: WorkerPrefixes): void {
    entry.prefixes.clear();
    entry.lastSequence = 0;
  }

  private add(entry: WorkerPrefixes, prefix: string, expiresAt: number): void {
    const before = entry.prefixes.get(prefix) ?? 0;
    entry.prefixes.delete(prefix);
    entry.prefixes.set(prefix, Math.max(before, expiresAt));
    if (entry.prefixes.size <= MAX_PREFIXES_PER_WORKER) return;
    const [oldest] = entry.prefixes.keys();
    entry.prefixes.delete(oldest!);
  }
}
