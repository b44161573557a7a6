/** Knowledge of the prompt prefixes that workers have cached. */
import { CacheEventKind, type CacheEvent } from '@jujubelanding/types';

/** Prefixes kept per worker; the least recently used are dropped first. */
const MAX_PREFIXES_PER_WORKER = 2000;

/** Knowledge from own completions is dropped after this time, since evictions may go unnoticed. */
const COMPLETION_LIFETIME_MS = 300_000;

interface WorkerPrefixes {
  /** Prefix hash to the time until which it is believed; in order of use. */
  prefixes: Map<string, number>;
  lastSequence: number;
}

/** Prefix knowledge of all workers; a hint only, never needed for correctness. */
export class PrefixIndex {
  private readonly workers = new Map<string, WorkerPrefixes>();

  /** Number of leading prefixes of a prompt that the worker probably has. */
  match(workerId: string, prefixes: readonly string[], now: number): number {
    const known = this.workers.get(workerId);
    if (known === undefined) return 0;
    for (let count = prefixes.length; count > 0; count -= 1) {
      if ((known.prefixes.get(prefixes[count - 1]!) ?? 0) > now) return count;
    }
    return 0;
  }

  /** Notes that a worker has processed a prompt. */
  addCompletion(workerId: string, prefixes: readonly string[], now: number): void {
    const known = this.findOrCreate(workerId);
    for (const prefix of prefixes) this.add(known, prefix, now + COMPLETION_LIFETIME_MS);
  }

  /** Notes that a worker found none of a prompt's prefixes in its cache before it ran. */
  removeMissed(workerId: string, prefixes: readonly string[]): void {
    const known = this.workers.get(workerId);
    prefixes.forEach((prefix) => known?.prefixes.delete(prefix));
  }

  /**
   * Applies events of a poll that asked for those after a sequence number. A gap may hide evictions
   * of any prefix known before it, so that all of these are dropped.
   */
  applyEvents(workerId: string, events: readonly CacheEvent[], afterSequence: number): void {
    const known = this.findOrCreate(workerId);
    const last = events.at(-1)?.sequence;
    // Asked from the start, a worker that restarted returns only sequence numbers below the last.
    if (afterSequence === 0 && (last ?? 0) < known.lastSequence) this.reset(known);
    for (const event of events) {
      if (event.sequence <= known.lastSequence) continue;
      if (event.sequence > known.lastSequence + 1) known.prefixes.clear();
      known.lastSequence = event.sequence;
      if (event.kind === CacheEventKind.Stored) this.add(known, event.prefixHash, Infinity);
      else known.prefixes.delete(event.prefixHash);
    }
  }

  /** Forgets a worker that is no longer listed. */
  remove(workerId: string): void {
    this.workers.delete(workerId);
  }

  /** Forgets workers that are no longer listed. */
  retain(isListed: (workerId: string) => boolean): void {
    for (const workerId of this.workers.keys()) {
      if (!isListed(workerId)) this.workers.delete(workerId);
    }
  }

  private findOrCreate(workerId: string): WorkerPrefixes {
    const known = this.workers.get(workerId) ?? { prefixes: new Map(), lastSequence: 0 };
    this.workers.set(workerId, known);
    return known;
  }

  private reset(known: WorkerPrefixes): void {
    known.prefixes.clear();
    known.lastSequence = 0;
  }

  private add(known: WorkerPrefixes, prefix: string, expiresAt: number): void {
    const before = known.prefixes.get(prefix) ?? 0;
    known.prefixes.delete(prefix);
    known.prefixes.set(prefix, Math.max(before, expiresAt));
    if (known.prefixes.size <= MAX_PREFIXES_PER_WORKER) return;
    const [oldest] = known.prefixes.keys();
    known.prefixes.delete(oldest!);
  }
}
