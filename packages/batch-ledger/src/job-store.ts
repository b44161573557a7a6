import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import {
  CommitStatus,
  type KeyValueEntry,
  type Transaction,
  type TransactionalStore,
} from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import {
  decodeJob,
  decodeLedger,
  EMPTY_LEDGER,
  encode,
  encodeRequests,
  listRequests,
  toRecord,
  type ItemState,
  type Job,
  type Ledger,
  type Ownership,
  type SubmittedJob,
} from './job.js';
import type { ItemRequests } from './item-requests.js';
import type { JobTable, JobSnapshot } from './job-table.js';
import type { JobTransactions } from './job-transactions.js';
import type { KeySpace } from './key-space.js';
import {
  createDeltaEntries,
  readSaveStatus,
  type NumberedDelta,
  type SaveStatus,
} from './progress-store.js';
import type { Reservation, TokenQuota } from './token-quota.js';

/** Delay before repeating a call that was refused or whose outcome is unknown. */
const RETRY_DELAY_MS = 120;

export enum SubmitStatus {
  Accepted = 'accepted',
  /** The job is stored already, by an earlier submission or by a commit whose reply was lost. */
  AlreadyAccepted = 'known',
}

export enum EndStatus {
  Ended = 'ended',
  /** The store has no such job. */
  NotFound = 'unknown',
}

/** Result of an item, to be appended to the ledger. */
export interface NewResult {
  itemIndex: number;
  state: ItemState;
  output: string;
}

export interface AppendOutcome {
  /** Whether the results are listed. */
  status: CommitStatus;
  /** Whether the progress is stored; undefined if the results alone caused a conflict. */
  saved: SaveStatus | undefined;
}

export interface JobStoreOptions {
  store: Pick<TransactionalStore, 'get'>;
  transactions: JobTransactions;
  timer: Timer;
  keys: KeySpace;
  table: JobTable;
  self: Ownership;
  leaseId: () => string | undefined;
  quota: TokenQuota;
  requests: Pick<ItemRequests, 'keep'>;
}

const createFault = (code: FaultCode, outcome: Outcome, step: string, message: string): Fault => ({
  code,
  outcome,
  step,
  message,
});

/**
 * Changes jobs in the store. Each change is one transaction, conditional on the revisions that it was
 * computed from.
 */
export class JobStore {
  constructor(private readonly options: JobStoreOptions) {}

  /**
   * Stores a job once. A commit with an unknown outcome is repeated until the outcome is known, because
   * only then is it certain whether the job will run. A refused commit is repeated too, since outages
   * last seconds and callers have a single retry.
   */
  async submit(job: SubmittedJob, deadline: number, maxQueuedTokens = 0): Reply<SubmitStatus> {
    const { table, quota, timer } = this.options;
    /** Revision of the counter that a commit with unknown outcome depends on. */
    let unconfirmedRevision: number | undefined;
    for (;;) {
      if (table.find(job.id) !== undefined) return ok(SubmitStatus.AlreadyAccepted);
      const counted = quota.reserve(job, maxQueuedTokens);
      if (counted.isErr() && counted.error.code === FaultCode.RateLimited) {
        return this.refuse(job, counted.error, unconfirmedRevision);
      }
      if (counted.isOk()) {
        const revision = quota.revisionOf(job.quotaId ?? '');
        const reply = await this.commitNewJob(job, counted.value);
        if (reply.isOk() && reply.value !== undefined) return ok(reply.value);
        if (reply.isErr() && reply.error.outcome === Outcome.OutcomeUnknown) {
          unconfirmedRevision = revision;
        }
        // A conflicting reply contains the current counter.
        const hasCounterChanged = quota.revisionOf(job.quotaId ?? '') !== revision;
        if (reply.isOk() && hasCounterChanged && timer.now() < deadline) continue;
      }
      if (timer.now() + RETRY_DELAY_MS >= deadline) {
        const message = 'the store did not confirm the job';
        const isCertain = unconfirmedRevision === undefined;
        const outcome = isCertain ? Outcome.NotRun : Outcome.OutcomeUnknown;
        return err(createFault(FaultCode.Timeout, outcome, 'submit', message));
      }
      await timer.sleep(RETRY_DELAY_MS);
    }
  }

  /** Stores a new job; undefined if the counter of waiting tokens has changed or the lease has ended. */
  private async commitNewJob(
    job: SubmittedJob,
    { conditions, writes }: Reservation,
  ): Reply<SubmitStatus | undefined> {
    const { keys, self, leaseId, transactions } = this.options;
    const lease = leaseId();
    const transaction: Transaction = {
      conditions: [{ key: keys.job(job.id), revision: 0 }, ...conditions],
      writes: [
        { key: keys.job(job.id), value: encode(toRecord(job)) },
        { key: keys.requests(job.id), value: encodeRequests(listRequests(job)) },
        { key: keys.ledger(job.id), value: encode(EMPTY_LEDGER) },
        // Without a lease the job is stored without an owner, and any VM may take it.
        ...(lease === undefined
          ? []
          : [{ key: keys.owner(job.id), value: encode(self), leaseId: lease }]),
        ...writes,
      ],
      removals: [],
    };
    // The job is executed as soon as it is in the table, and its requests would be read from the store.
    const keepRequests = (): void => this.options.requests.keep(job.id, listRequests(job));
    const reply = await transactions.commit(transaction, keepRequests);
    return reply.map((result) => {
      if (result.status === CommitStatus.Committed) return SubmitStatus.Accepted;
      if (result.status === CommitStatus.LeaseEnded) return undefined;
      const isStored = result.current.some(({ key }) => key === keys.job(job.id));
      return isStored ? SubmitStatus.AlreadyAccepted : undefined;
    });
  }

  /**
   * Refuses a job beyond the limit, unless an earlier submission of it is stored. A commit whose outcome
   * is unknown can no longer take effect once the counter on which it depends has changed.
   */
  private async refuse(
    job: Job,
    fault: Fault,
    unconfirmedRevision: number | undefined,
  ): Reply<SubmitStatus> {
    const stored = await this.read(job.id);
    if (stored !== undefined && !('code' in stored)) return ok(SubmitStatus.AlreadyAccepted);
    const mayStillTakeEffect =
      unconfirmedRevision !== undefined &&
      this.options.quota.revisionOf(job.quotaId ?? '') <= unconfirmedRevision;
    const isCertain = stored === undefined && !mayStillTakeEffect;
    return err(isCertain ? fault : { ...fault, outcome: Outcome.OutcomeUnknown });
  }

  /** Marks a job as ended; retries until the store confirms it or the deadline has passed. */
  async end(jobId: string, deadline: number): Reply<EndStatus> {
    const { keys, timer } = this.options;
    let current = this.options.table.find(jobId);
    for (;;) {
      const snapshot = current ?? (await this.read(jobId));
      if (snapshot === undefined) return ok(EndStatus.NotFound);
      if ('code' in snapshot) {
        if (timer.now() + RETRY_DELAY_MS >= deadline) return err(snapshot);
        await timer.sleep(RETRY_DELAY_MS);
        continue;
      }
      if (snapshot.ledger.isEnded) return ok(EndStatus.Ended);
      const ledger = { ...snapshot.ledger, isEnded: true };
      const reply = await this.options.transactions.commit({
        conditions: [{ key: keys.ledger(jobId), revision: snapshot.ledgerRevision }],
        writes: [{ key: keys.ledger(jobId), value: encode(ledger) }],
        removals: [keys.owner(jobId)],
      });
      if (reply.isOk() && reply.value.status === CommitStatus.Committed) {
        return ok(EndStatus.Ended);
      }
      current = undefined;
      if (reply.isErr()) {
        if (timer.now() + RETRY_DELAY_MS >= deadline) return err(reply.error);
        await timer.sleep(RETRY_DELAY_MS);
      }
    }
  }

  /**
   * Appends results to the ledger. On a conflict, which means that another VM changed the ledger, nothing
   * is written and the table holds the newer ledger afterwards.
   */
  async appendResults(snapshot: JobSnapshot, results: readonly NewResult[]): Reply<CommitStatus> {
    const reply = await this.options.transactions.commit(this.createAppend(snapshot, results));
    return reply.map(({ status }) => status);
  }

  /**
   * Appends results and stores progress of other items in one transaction. On any conflict nothing is
   * written, and the results can be appended alone.
   */
  async appendWithProgress(
    snapshot: JobSnapshot,
    results: readonly NewResult[],
    progress: NumberedDelta,
  ): Reply<AppendOutcome> {
    const append = this.createAppend(snapshot, results);
    const entries = createDeltaEntries(this.options.keys, snapshot, progress);
    const reply = await this.options.transactions.commit({
      conditions: [...append.conditions, ...entries.conditions],
      writes: [...append.writes, ...entries.writes],
      removals: append.removals,
    });
    return reply.map((result) => ({
      status: result.status,
      saved: readSaveStatus(result, entries),
    }));
  }

  private createAppend(snapshot: JobSnapshot, results: readonly NewResult[]): Transaction {
    const { keys } = this.options;
    const { job, ledger, ledgerRevision } = snapshot;
    const first = ledger.results.length;
    const completesJob = first + results.length >= job.items.length;
    const updated: Ledger = {
      ...ledger,
      results: [
        ...ledger.results,
        ...results.map(({ itemIndex, state }): Ledger['results'][number] => [itemIndex, state]),
      ],
    };
    return {
      conditions: [{ key: keys.ledger(job.id), revision: ledgerRevision }],
      writes: [
        { key: keys.ledger(job.id), value: encode(updated) },
        ...results.map(({ output }, index) => ({
          key: keys.output(job.id, first + index),
          value: output,
        })),
      ],
      removals: completesJob ? [keys.owner(job.id)] : [],
    };
  }

  /** Takes ownership of a job that has no owner, or whose owner is an earlier process of this VM. */
  async takeOwnership({ job, ownerRevision }: JobSnapshot): Reply<boolean> {
    const { keys, self, leaseId } = this.options;
    const lease = leaseId();
    if (lease === undefined) return ok(false);
    const reply = await this.options.transactions.commit({
      conditions: [{ key: keys.owner(job.id), revision: ownerRevision }],
      writes: [{ key: keys.owner(job.id), value: encode(self), leaseId: lease }],
      removals: [],
    });
    return reply.map(({ status }) => status === CommitStatus.Committed);
  }

  /** Reads the record of a job from the store; undefined if it does not exist. */
  async readRecord(jobId: string): Reply<Job | undefined> {
    const { store, keys } = this.options;
    const entry = await store.get(keys.job(jobId));
    if (entry.isErr()) return err(entry.error);
    if (entry.value === undefined) return ok(undefined);
    const job = decodeJob(entry.value.value);
    if (job !== undefined) return ok(job);
    const message = `the stored record of job ${jobId} cannot be decoded`;
    return err(createFault(FaultCode.Corrupt, Outcome.Failed, 'read-job', message));
  }

  /** Reads a job from the store; undefined if it does not exist. */
  async read(jobId: string): Promise<JobSnapshot | Fault | undefined> {
    const { store, transactions, keys, table } = this.options;
    const ledger = await store.get(keys.ledger(jobId));
    if (ledger.isErr()) return ledger.error;
    if (ledger.value === undefined) return undefined;
    const entries: KeyValueEntry[] = [ledger.value];
    if (table.find(jobId) === undefined) {
      const job = await store.get(keys.job(jobId));
      if (job.isErr()) return job.error;
      if (job.value === undefined) return undefined;
      entries.push(job.value);
    }
    transactions.applyRead(entries);
    const unreadable = entries.some(
      ({ value }) => decodeJob(value) === undefined && decodeLedger(value) === undefined,
    );
    if (unreadable) {
      const message = `the stored record or ledger of job ${jobId} cannot be decoded`;
      return createFault(FaultCode.Corrupt, Outcome.Failed, 'read-job', message);
    }
    return table.find(jobId);
  }
}
