/**
 * Limit on the tokens of batch items that wait on a route, held over all entry VMs.
 *
 * A counter in the store holds the tokens of all accepted jobs whose records are still stored. It changes
 * in the same transaction as the job record, so it counts each accepted job exactly once, whatever reply
 * is lost. Finished tokens are counted from the ledgers that every VM follows. A stale ledger only makes
 * the number of waiting tokens too high, so a VM never accepts too much, and finished items need no call.
 */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import {
  ChangeKind,
  type TransactionCondition,
  type TransactionWrite,
} from '@jujubelanding/platform';
import type { FollowedChange } from '@jujubelanding/store-follower';
import type { Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { decodeWith, SCHEMA_VERSION, type Job, type Ledger } from './job.js';
import type { JobSnapshot, JobTable } from './job-table.js';
import type { KeySpace } from './key-space.js';
import { ReturnSchedule } from './return-schedule.js';

/** Interval at which the drain rate is sampled. */
const SAMPLE_INTERVAL_MS = 1000;

const counterSchema = z.object({
  schemaVersion: z.literal(SCHEMA_VERSION),
  /** Tokens of all counted jobs whose records are stored. */
  acceptedTokens: z.number(),
});

type Counter = z.infer<typeof counterSchema>;

const decodeCounter = decodeWith<Counter>(counterSchema);

interface StoredCounter {
  acceptedTokens: number;
  /** Store revision of the counter; 0 if it is not stored. */
  revision: number;
}

const NO_COUNTER: StoredCounter = { acceptedTokens: 0, revision: 0 };

/** Entries by which a transaction changes the counter together with a job. */
export interface Reservation {
  conditions: TransactionCondition[];
  writes: TransactionWrite[];
}

export const NO_RESERVATION: Reservation = { conditions: [], writes: [] };

/** Sum of the tokens of all items of a job. */
export const countTokens = ({ items }: Job): number =>
  items.reduce((sum, { tokens }) => sum + tokens, 0);

/** Sum of the tokens of the items that no longer wait. */
export const countFinishedTokens = (job: Job, ledger: Ledger): number =>
  ledger.isEnded
    ? countTokens(job)
    : ledger.results.reduce((sum, [index]) => sum + (job.items[index]?.tokens ?? 0), 0);

/**
 * Id of the counter of a route, or of a team on it; routes keep their host and prefix when other fields
 * change. Prefixes contain no `#`, so that a team cannot use the counter of another one.
 */
export const createQuotaId = (host: string, prefix: string, team?: string): string => {
  const route = `${host.toLowerCase()}${prefix}`;
  return encodeURIComponent(team === undefined ? route : `${route}#${team}`);
};

export interface TokenQuotaOptions {
  timer: Timer;
  keys: KeySpace;
  table: Pick<JobTable, 'list'>;
  /** True once the table holds all stored jobs. */
  isTableLoaded: () => boolean;
  /** Number of entry VMs that accept jobs. */
  countEntryVms: () => number;
}

export class TokenQuota {
  private readonly counters = new Map<string, StoredCounter>();

  private readonly schedules = new Map<string, ReturnSchedule>();

  constructor(private readonly options: TokenQuotaOptions) {}

  /** Applies changes of counters; ignores all other keys. */
  apply(changes: readonly FollowedChange[]): void {
    for (const { kind, entry } of changes) {
      const quotaId = this.options.keys.parseQuota(entry.key);
      const counter = kind === ChangeKind.Put ? decodeCounter(entry.value) : undefined;
      if (quotaId !== undefined && counter !== undefined) {
        const { acceptedTokens } = counter;
        this.counters.set(quotaId, { acceptedTokens, revision: entry.modRevision });
      }
    }
  }

  /** Store revision of the counter that this VM knows. */
  revisionOf(quotaId: string): number {
    return (this.counters.get(quotaId) ?? NO_COUNTER).revision;
  }

  /** Tokens of accepted items that are not known to be finished. */
  countWaiting(quotaId: string): number {
    const { acceptedTokens } = this.counters.get(quotaId) ?? NO_COUNTER;
    // Jobs that were accepted before their route got a limit are not in the counter.
    const uncountedTokens = this.listJobs(quotaId)
      .filter(({ job }) => job.isCounted !== true)
      .reduce(
        (sum, { job, ledger }) => sum + countTokens(job) - countFinishedTokens(job, ledger),
        0,
      );
    return acceptedTokens - this.countFinished(quotaId) + uncountedTokens;
  }

  /** Returns the entries that count a new job, or a fault if the job exceeds the limit. */
  reserve(job: Job, maxQueuedTokens: number): Result<Reservation, Fault> {
    const { quotaId } = job;
    if (quotaId === undefined || job.isCounted !== true) return ok(NO_RESERVATION);
    if (!this.options.isTableLoaded()) return err(this.createNotLoadedFault());
    const tokens = countTokens(job);
    const excess = this.countWaiting(quotaId) + tokens - maxQueuedTokens;
    if (excess > 0) return err(this.createLimitFault(quotaId, tokens, excess, maxQueuedTokens));
    return ok(this.change(quotaId, tokens));
  }

  /** Returns the entries that stop counting a job whose record is removed. */
  release(job: Job): Reservation {
    const { quotaId } = job;
    if (quotaId === undefined || job.isCounted !== true) return NO_RESERVATION;
    return this.change(quotaId, -countTokens(job));
  }

  /** Samples the drain rate of all counted routes. */
  start(): { cancel: () => void } {
    return this.options.timer.every(SAMPLE_INTERVAL_MS, () => {
      for (const quotaId of this.counters.keys()) {
        this.scheduleOf(quotaId).sample(this.countFinished(quotaId));
      }
    });
  }

  private change(quotaId: string, tokens: number): Reservation {
    const { acceptedTokens, revision } = this.counters.get(quotaId) ?? NO_COUNTER;
    const key = this.options.keys.quota(quotaId);
    const counter: Counter = {
      schemaVersion: SCHEMA_VERSION,
      acceptedTokens: acceptedTokens + tokens,
    };
    return {
      conditions: [{ key, revision }],
      writes: [{ key, value: JSON.stringify(counter) }],
    };
  }

  private countFinished(quotaId: string): number {
    return this.listJobs(quotaId)
      .filter(({ job }) => job.isCounted === true)
      .reduce((sum, { job, ledger }) => sum + countFinishedTokens(job, ledger), 0);
  }

  private listJobs(quotaId: string): JobSnapshot[] {
    return this.options.table.list().filter(({ job }) => job.quotaId === quotaId);
  }

  private scheduleOf(quotaId: string): ReturnSchedule {
    const existing = this.schedules.get(quotaId);
    if (existing !== undefined) return existing;
    const schedule = new ReturnSchedule(this.options.timer);
    this.schedules.set(quotaId, schedule);
    return schedule;
  }

  private createNotLoadedFault(): Fault {
    return {
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step: 'token-quota',
      message: 'the waiting tokens of the route are not known yet',
    };
  }

  private createLimitFault(
    quotaId: string,
    tokens: number,
    excess: number,
    maxQueuedTokens: number,
  ): Fault {
    const message = `the job has ${tokens} tokens; at most ${maxQueuedTokens} may wait on the route, which this exceeds by ${excess}`;
    const retryAfterMs = this.scheduleOf(quotaId).next(
      excess,
      tokens,
      this.options.countEntryVms(),
    );
    const code = FaultCode.RateLimited;
    return { code, outcome: Outcome.NotRun, step: 'token-quota', message, retryAfterMs };
  }
}
