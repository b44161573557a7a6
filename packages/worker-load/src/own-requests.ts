/** Online requests of this VM per worker, and shard owners' totals corrected by them. */
import type { WorkerTotal } from '@jujubelanding/peer-protocol';

/** Totals older than this are not used; owners push them every 500 ms while a worker is in use. */
export const TOTAL_LIFETIME_MS = 3000;

/** Limits memory use while no owner responds. */
const MAX_STEPS = 64;

interface Step {
  sequence: number;
  own: number;
}

interface ReceivedTotal extends WorkerTotal {
  receivedAt: number;
  includedSequence: number;
  /** Requests of this VM that the total includes. */
  ownIncluded: number;
}

interface WorkerEntry {
  own: number;
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
  own: 0,
  lastUsedAt: now,
  steps: [],
  droppedSequence: 0,
});

/** State of `WorkerLoadsController`. Callers pass in the time. */
export class OwnRequests {
  private readonly entries = new Map<string, WorkerEntry>();

  private readonly totals = new Map<string, ReceivedTotal>();

  own(workerId: string): number {
    return this.entries.get(workerId)?.own ?? 0;
  }

  /** Returns the last total as received, uncorrected. */
  lastTotal(workerId: string): WorkerTotal | undefined {
    return this.totals.get(workerId);
  }

  /** Adds or removes a request under the sequence number of the notice that reports it. */
  change(workerId: string, difference: 1 | -1, sequence: number, now: number): void {
    const entry = this.entries.get(workerId) ?? createWorkerEntry(now);
    entry.own = Math.max(0, entry.own + difference);
    entry.lastUsedAt = now;
    entry.steps.push({ sequence, own: entry.own });
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
    // How many own requests a total from before the kept steps includes is not known.
    if (included < (this.entries.get(total.workerId)?.droppedSequence ?? 0)) return;
    this.totals.set(total.workerId, {
      ...total,
      receivedAt: now,
      includedSequence: includedSequence ?? 0,
      ownIncluded: this.takeIncludedCount(total.workerId, included),
    });
  }

  /** Returns the latest total, corrected by own requests since; undefined without a valid total. */
  estimate(workerId: string, now: number): Estimate | undefined {
    const total = this.totals.get(workerId);
    if (total === undefined || now - total.receivedAt > TOTAL_LIFETIME_MS) return undefined;
    const own = this.own(workerId);
    return {
      online: Math.max(own, total.online - total.ownIncluded + own),
      batch: total.batch,
      slots: total.slots,
      ageMs: now - total.receivedAt,
    };
  }

  /** Returns the last known number of slots, also from a total that is too old for estimates. */
  lastSlots(workerId: string): number | undefined {
    return this.totals.get(workerId)?.slots;
  }

  /** Lists workers with own requests in progress or ended less than `retentionMs` ago. */
  listUsedWorkers(now: number, retentionMs: number): string[] {
    return [...this.entries]
      .filter(([, entry]) => entry.own > 0 || now - entry.lastUsedAt < retentionMs)
      .map(([workerId]) => workerId);
  }

  /** Removes workers and totals that have not been used or updated for `retentionMs`. */
  prune(now: number, retentionMs: number): void {
    for (const [workerId, entry] of this.entries) {
      if (entry.own === 0 && now - entry.lastUsedAt > retentionMs) this.entries.delete(workerId);
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
    const { own } = entry.steps[position]!;
    // This step is kept, because repeated totals with the same sequence number need its count.
    entry.steps.splice(0, position);
    return own;
  }
}
