/** Online requests of this VM per worker, and shard owners' totals corrected by them. */
import type { WorkerTotal } from '@jujubelanding/peer-protocol';

/**
 * Totals older than this are not used. While a worker is in use, owners send totals with significant
 * changes every 500 ms and repeat the others about every 1.5 s.
 */
export const TOTAL_LIFETIME_MS = 3000;

/** Limits memory use while no owner responds. */
const MAX_STEPS = 64;

/** Requests of this VM in progress on a worker, as of the notice with the sequence number. */
interface Step {
  sequence: number;
  inFlight: number;
}

interface ReceivedTotal extends WorkerTotal {
  receivedAt: number;
  /** Highest sequence number of this VM's notices that the total includes. */
  includedSequence: number;
  /** Requests of this VM that the total includes. */
  localIncluded: number;
}

interface WorkerEntry {
  inFlight: number;
  lastUsedAt: number;
  /** Counts of this VM by notice sequence number, oldest first; kept since the last total. */
  steps: Step[];
  /** Sequence number of the last step dropped because of `MAX_STEPS`. */
  droppedSequence: number;
}

/** Estimate of a worker's load from the latest total. */
export interface Estimate {
  online: number;
  batch: number;
  slots: number;
  ageMs: number;
}

const createWorkerEntry = (now: number): WorkerEntry => ({
  inFlight: 0,
  lastUsedAt: now,
  steps: [],
  droppedSequence: 0,
});

/** State of `WorkerLoadsController`. Callers pass in the time. */
export class LocalRequests {
  private readonly entries = new Map<string, WorkerEntry>();

  private readonly totals = new Map<string, ReceivedTotal>();

  countInFlight(workerId: string): number {
    return this.entries.get(workerId)?.inFlight ?? 0;
  }

  /** Returns the last total as received, uncorrected. */
  lastTotal(workerId: string): WorkerTotal | undefined {
    return this.totals.get(workerId);
  }

  /** Adds or removes a request under the sequence number of the notice that reports it. */
  change(workerId: string, difference: 1 | -1, sequence: number, now: number): void {
    const entry = this.entries.get(workerId) ?? createWorkerEntry(now);
    entry.inFlight = Math.max(0, entry.inFlight + difference);
    entry.lastUsedAt = now;
    entry.steps.push({ sequence, inFlight: entry.inFlight });
    if (entry.steps.length > MAX_STEPS) entry.droppedSequence = entry.steps.shift()!.sequence;
    this.entries.set(workerId, entry);
  }

  /** Stores a total from the owner, unless a later one is known. */
  receive(total: WorkerTotal, includedSequence: number | undefined, now: number): void {
    const before = this.totals.get(total.workerId);
    const included = includedSequence ?? Number.MAX_SAFE_INTEGER;
    if (before !== undefined && includedSequence !== undefined) {
      const isLate = included < before.includedSequence;
      if (isLate && now - before.receivedAt < TOTAL_LIFETIME_MS) return;
    }
    // It is not known how many requests of this VM a total from before the kept steps includes.
    if (included < (this.entries.get(total.workerId)?.droppedSequence ?? 0)) return;
    this.totals.set(total.workerId, {
      ...total,
      receivedAt: now,
      includedSequence: includedSequence ?? 0,
      localIncluded: this.takeIncludedCount(total.workerId, included),
    });
  }

  /**
   * Returns the latest total, corrected by this VM's requests since then; undefined without a valid
   * total.
   */
  estimate(workerId: string, now: number): Estimate | undefined {
    const total = this.totals.get(workerId);
    if (total === undefined || now - total.receivedAt > TOTAL_LIFETIME_MS) return undefined;
    const localInFlight = this.countInFlight(workerId);
    return {
      online: Math.max(localInFlight, total.online - total.localIncluded + localInFlight),
      batch: total.batch,
      slots: total.slots,
      ageMs: now - total.receivedAt,
    };
  }

  /** Returns the last known number of slots, also from a total that is too old for estimates. */
  lastSlots(workerId: string): number | undefined {
    return this.totals.get(workerId)?.slots;
  }

  /** Lists workers with local requests in progress or ended less than `retentionMs` ago. */
  listUsedWorkers(now: number, retentionMs: number): string[] {
    return [...this.entries]
      .filter(([, entry]) => entry.inFlight > 0 || now - entry.lastUsedAt < retentionMs)
      .map(([workerId]) => workerId);
  }

  /** Removes workers and totals that have not been used or updated for `retentionMs`. */
  prune(now: number, retentionMs: number): void {
    for (const [id, entry] of this.entries) {
      if (entry.inFlight === 0 && now - entry.lastUsedAt > retentionMs) this.entries.delete(id);
    }
    for (const [workerId, total] of this.totals) {
      if (now - total.receivedAt > retentionMs) this.totals.delete(workerId);
    }
  }

  private takeIncludedCount(workerId: string, includedSequence: number): number {
    const entry = this.entries.get(workerId);
    if (entry === undefined) return 0;
    const later = entry.steps.findIndex((step) => step.sequence > includedSequence);
    const position = (later === -1 ? entry.steps.length : later) - 1;
    if (position < 0) return 0;
    const { inFlight } = entry.steps[position]!;
    // This step is kept, because repeated totals with the same sequence number need its count.
    entry.steps.splice(0, position);
    return inFlight;
  }
}
