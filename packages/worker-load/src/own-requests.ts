/** Own online requests per worker, and totals received from shard owners, corrected by them. */
import type { WorkerTotal } from '@jujubelanding/peer-protocol';

/** Totals older than this are not used; owners push them every 500 ms while a worker is in use. */
export const TOTAL_LIFETIME_MS = 3000;

/** Bounds memory while no owner answers. */
const MAX_STEPS = 64;

interface Step {
  sequence: number;
  own: number;
}

interface ReceivedTotal extends WorkerTotal {
  receivedAt: number;
  includedSequence: number;
  /** Own requests contained in the total. */
  ownIncluded: number;
}

interface WorkerEntry {
  own: number;
  lastUsedAt: number;
  /** Own counts by notice sequence, oldest first; those before the last total are dropped. */
  steps: Step[];
  /** Sequence of the last step dropped for lack of room. */
  droppedSequence: number;
}

/** Estimate of a worker's load from the newest total. */
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

/** State of `WorkerLoads`; all times are passed in. */
export class OwnRequests {
  private readonly entries = new Map<string, WorkerEntry>();

  private readonly totals = new Map<string, ReceivedTotal>();

  own(workerId: string): number {
    return this.entries.get(workerId)?.own ?? 0;
  }

  /** Total as received, without correction. */
  lastTotal(workerId: string): WorkerTotal | undefined {
    return this.totals.get(workerId);
  }

  /** Counts one request more or less under the sequence of the notice that reports it. */
  change(workerId: string, difference: 1 | -1, sequence: number, now: number): void {
    const entry = this.entries.get(workerId) ?? createWorkerEntry(now);
    entry.own = Math.max(0, entry.own + difference);
    entry.lastUsedAt = now;
    entry.steps.push({ sequence, own: entry.own });
    if (entry.steps.length > MAX_STEPS) entry.droppedSequence = entry.steps.shift()!.sequence;
    this.entries.set(workerId, entry);
  }

  /** Takes a total from the owner, unless a later one is known. */
  receive(total: WorkerTotal, includedSequence: number | undefined, now: number): void {
    const before = this.totals.get(total.workerId);
    const included = includedSequence ?? Number.MAX_SAFE_INTEGER;
    if (before !== undefined && includedSequence !== undefined) {
      const isLate = included < before.includedSequence;
      if (isLate && now - before.receivedAt < TOTAL_LIFETIME_MS) return;
    }
    // The own part of a total from before the kept steps is not known.
    if (included < (this.entries.get(total.workerId)?.droppedSequence ?? 0)) return;
    this.totals.set(total.workerId, {
      ...total,
      receivedAt: now,
      includedSequence: includedSequence ?? 0,
      ownIncluded: this.takeIncludedCount(total.workerId, included),
    });
  }

  /** Newest total, corrected by own requests that it does not contain; undefined without a total. */
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

  /** Last known slots, also from a total that is too old for anything else. */
  lastSlots(workerId: string): number | undefined {
    return this.totals.get(workerId)?.slots;
  }

  /** Workers with own requests in progress or ended a short time ago. */
  listUsedWorkers(now: number, retentionMs: number): string[] {
    return [...this.entries]
      .filter(([, entry]) => entry.own > 0 || now - entry.lastUsedAt < retentionMs)
      .map(([workerId]) => workerId);
  }

  /** Forgets workers that have not been used for a while. */
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
    // The step itself stays: it is the count for repeated totals with the same sequence.
    entry.steps.splice(0, position);
    return own;
  }
}
