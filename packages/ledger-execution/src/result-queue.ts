import type {
  AppendOutcome,
  JobSnapshot,
  JobStore,
  JobTable,
  NewResult,
  NumberedDelta,
  ResultReader,
  SaveStatus,
} from '@jujubelanding/batch-ledger';
import { Outcome, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { CommitStatus } from '@jujubelanding/platform';
import type { Subscription, Timer } from '@jujubelanding/timer';

/** Maximum number of results in a commit; the store accepts at most 32 entries in a transaction. */
const MAX_RESULTS = 24;

/** Maximum total output length of a commit, in characters. */
const MAX_CHARACTERS = 600_000;

const RETRY_DELAY_MS = 200;

/**
 * Results of a job within this time share a commit, as each commit is a call to the store and makes every
 * VM that follows it call again. Callers read results about twice a second.
 */
const GROUPING_MS = 500;

/** A result is committed at once if its job is due within this time or has been. */
const NEARLY_DUE_MS = 2000;

/** Progress of the other items of the job, which is stored in the transactions of results. */
export interface ResultCompanion {
  /** Returns progress of at most the given length; undefined if none is to be stored now. */
  take(maxCharacters: number): NumberedDelta | undefined;
  /** Called after `take` returned progress; `reason` tells why it is not known to be stored. */
  settle(saved: SaveStatus | undefined, reason: string): void;
}

export interface ResultQueueOptions {
  jobs: JobStore;
  table: JobTable;
  reader: ResultReader;
  timer: Timer;
  log: Log;
  jobId: string;
}

/** Queue of results of one job that are appended to its ledger, one commit at a time. */
export class ResultQueue {
  private pending: NewResult[] = [];

  /** The commits in progress. */
  private running: Promise<void> | undefined;

  /** The commit of results that wait for others. */
  private nextCommit: Subscription | undefined;

  private companion: ResultCompanion | undefined;

  /** True while results are committed alone, because their last commit failed. */
  private isAlone = false;

  constructor(private readonly options: ResultQueueOptions) {}

  /** Sets the progress that is stored together with results. */
  attach(companion: ResultCompanion): void {
    this.companion = companion;
  }

  /** True if there are results that wait for others. */
  get isWaiting(): boolean {
    return this.nextCommit !== undefined;
  }

  get length(): number {
    return this.pending.length;
  }

  has(itemIndex: number): boolean {
    return this.pending.some((result) => result.itemIndex === itemIndex);
  }

  add(result: NewResult): void {
    if (this.has(result.itemIndex)) return;
    this.pending.push(result);
    if (this.running !== undefined) return;
    if (this.isUrgent()) {
      void this.flush();
      return;
    }
    this.nextCommit ??= this.options.timer.after(GROUPING_MS, () => {
      void this.flush();
    });
  }

  /** Commits all results without waiting for others. */
  flush(): Promise<void> {
    if (this.running === undefined && this.pending.length > 0) this.running = this.run();
    return this.running ?? Promise.resolve();
  }

  /** True if no other result is expected, or if waiting for one could make this one late. */
  private isUrgent(): boolean {
    const { table, timer, jobId } = this.options;
    const snapshot = table.find(jobId);
    if (snapshot === undefined) return true;
    const { job, ledger } = snapshot;
    const missing = job.items.length - ledger.results.length - this.pending.length;
    return missing <= 0 || timer.wallClock() + NEARLY_DUE_MS >= job.submittedAt + job.dueMs;
  }

  private async run(): Promise<void> {
    this.nextCommit?.cancel();
    this.nextCommit = undefined;
    this.isAlone = false;
    while (this.pending.length > 0) {
      const shouldContinue = await this.commit();
      if (!shouldContinue) break;
    }
    this.running = undefined;
  }

  /** Commits the next results; returns false if there was nothing to commit or the job has ended. */
  private async commit(): Promise<boolean> {
    const { table, log, jobId } = this.options;
    const snapshot = table.find(jobId);
    if (snapshot === undefined || snapshot.ledger.isEnded) {
      this.pending = [];
      return false;
    }
    const indexesWithResult = new Set(snapshot.ledger.results.map(([itemIndex]) => itemIndex));
    this.pending = this.pending.filter(({ itemIndex }) => !indexesWithResult.has(itemIndex));
    const results = this.selectNextResults();
    if (results.length === 0) return false;
    const progress = this.takeProgress(snapshot, results);
    const reply = await this.append(snapshot, results, progress);
    const isListed = reply.isOk() && reply.value.status === CommitStatus.Committed;
    // A result must not fail again because of the progress that is stored with it.
    this.isAlone = !isListed;
    if (reply.isErr()) {
      const { code, message, outcome } = reply.error;
      log.write('results-not-listed', { job: jobId, results: results.length, code, message });
      await this.recover(outcome);
    } else if (isListed) {
      this.recordListed(snapshot, results, progress !== undefined);
    }
    return true;
  }

  private takeProgress(
    { job, ledger }: JobSnapshot,
    results: readonly NewResult[],
  ): NumberedDelta | undefined {
    const isComplete = ledger.results.length + results.length >= job.items.length;
    if (this.isAlone || isComplete) return undefined;
    const size = results.reduce((sum, { output }) => sum + output.length, 0);
    return this.companion?.take(MAX_CHARACTERS - size);
  }

  private async append(
    snapshot: JobSnapshot,
    results: readonly NewResult[],
    progress: NumberedDelta | undefined,
  ): Reply<AppendOutcome> {
    const { jobs } = this.options;
    // Another companion may be attached before the store replies.
    const { companion } = this;
    if (progress === undefined) {
      const reply = await jobs.appendResults(snapshot, results);
      return reply.map((status) => ({ status, saved: undefined }));
    }
    const reply = await jobs.appendWithProgress(snapshot, results, progress);
    if (reply.isOk()) companion?.settle(reply.value.saved, reply.value.status);
    else companion?.settle(undefined, reply.error.code);
    return reply;
  }

  /** Waits before the next commit; one that may have taken effect requires that the ledger is read. */
  private async recover(outcome: Outcome): Promise<void> {
    const { jobs, timer, jobId } = this.options;
    await timer.sleep(RETRY_DELAY_MS);
    if (outcome === Outcome.OutcomeUnknown) await jobs.read(jobId);
  }

  private recordListed(
    { ledger }: JobSnapshot,
    results: readonly NewResult[],
    hasProgress: boolean,
  ): void {
    const { reader, log, jobId } = this.options;
    const first = ledger.results.length;
    results.forEach(({ output }, index) => reader.cacheOutput(jobId, first + index, output));
    this.pending = this.pending.filter((result) => !results.includes(result));
    log.write('results-listed', { job: jobId, first, results: results.length, hasProgress });
  }

  private selectNextResults(): NewResult[] {
    const batch: NewResult[] = [];
    let size = 0;
    for (const result of this.pending) {
      size += result.output.length;
      if (batch.length >= MAX_RESULTS || (size > MAX_CHARACTERS && batch.length > 0)) break;
      batch.push(result);
    }
    return batch;
  }
}
