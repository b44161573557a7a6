/** Tracks jobs as callers know them: submissions, acknowledgements and results read. */
import type { ItemResult } from '@jujubelanding/types';
import { Invariant, type Violations } from './violation.js';

export enum JobPhase {
  /** Sent, but not acknowledged so far. */
  Unconfirmed = 'unconfirmed',
  Accepted = 'accepted',
  CancelRequested = 'cancelRequested',
  Cancelled = 'cancelled',
}

export interface TrackedJob {
  /** Idempotency key, and job tag in the prompts of the items. */
  key: string;
  model: string;
  itemCount: number;
  /** Indexes of the items that the engines always fail. */
  failingItems: Set<number>;
  phase: JobPhase;
  id?: string;
  body: string;
  results: Map<number, string>;
}

/** Serializes a result for comparison, including the attempts, because a result never changes. */
const serializeResult = (result: ItemResult): string => JSON.stringify(result);

export class JobTracker {
  readonly jobs: TrackedJob[] = [];

  constructor(private readonly violations: Violations) {}

  listAccepted(): TrackedJob[] {
    return this.jobs.filter(({ phase }) => phase !== JobPhase.Unconfirmed);
  }

  /** Records an acknowledged submission; a resent one must return the same job id. */
  recordAcceptance(job: TrackedJob, id: string): void {
    if (job.id !== undefined && job.id !== id) {
      this.violations.report(
        Invariant.ResendSame,
        job.key,
        `the job id changed from ${job.id} to ${id}`,
      );
    }
    job.id = id;
    if (job.phase === JobPhase.Unconfirmed) job.phase = JobPhase.Accepted;
  }

  /** Records results and reports those that appear twice or differ from an earlier read. */
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
