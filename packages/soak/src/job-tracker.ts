/** What callers know of their jobs: submissions, acknowledgements, results seen. */
import type { ItemResult } from '@jujubelanding/types';
import { Invariant, type Violations } from './violation.js';

export enum JobPhase {
  /** Sent, without a conclusive answer so far. */
  Unconfirmed = 'unconfirmed',
  Accepted = 'accepted',
  CancelRequested = 'cancelRequested',
  Cancelled = 'cancelled',
}

export interface TrackedJob {
  /** Idempotency key and tag of the items. */
  key: string;
  model: string;
  itemCount: number;
  /** Items whose prompt makes the engines fail. */
  failingItems: Set<number>;
  phase: JobPhase;
  id?: string;
  body: string;
  results: Map<number, string>;
}

/** Text that identifies a result; attempts are part of it, because a result never changes. */
const serializeResult = (result: ItemResult): string => JSON.stringify(result);

export class JobTracker {
  readonly jobs: TrackedJob[] = [];

  constructor(private readonly violations: Violations) {}

  listAccepted(): TrackedJob[] {
    return this.jobs.filter(({ phase }) => phase !== JobPhase.Unconfirmed);
  }

  /** Notes an acknowledged submission; a resent one must give the same job. */
  recordAcceptance(job: TrackedJob, id: string): void {
    if (job.id !== undefined && job.id !== id) {
      this.violations.report(Invariant.ResendSame, job.key, `was ${job.id}, now ${id}`);
    }
    job.id = id;
    if (job.phase === JobPhase.Unconfirmed) job.phase = JobPhase.Accepted;
  }

  /** Compares results with those read before. */
  recordResults(job: TrackedJob, results: readonly ItemResult[]): void {
    const seenIndexes = new Set<number>();
    for (const result of results) {
      if (seenIndexes.has(result.index)) {
        this.violations.report(Invariant.ResultOnce, job.key, `item ${result.index} appears twice`);
      }
      seenIndexes.add(result.index);
      const serialized = serializeResult(result);
      const previous = job.results.get(result.index);
      if (previous !== undefined && previous !== serialized) {
        const detail = `item ${result.index} changed from ${previous} to ${serialized}`;
        this.violations.report(Invariant.ResultOnce, job.key, detail);
      }
      job.results.set(result.index, serialized);
    }
  }
}
