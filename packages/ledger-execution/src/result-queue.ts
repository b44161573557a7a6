import type { JobStore, JobTable, NewResult, ResultReader } from '@jujubelanding/batch-ledger';
import { Outcome } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { CommitStatus } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';

/** Results of one commit; the store takes at most 32 entries in a transaction. */
const MAX_RESULTS_PER_COMMIT = 24;

/** Text of one commit, in characters. */
const MAX_CHARACTERS_PER_COMMIT = 600_000;

const RETRY_DELAY_MS = 200;

export interface ResultQueueOptions {
  jobs: JobStore;
  table: JobTable;
  reader: ResultReader;
  timer: Timer;
  log: Log;
  jobId: string;
}

/** Results of one job on their way into its ledger; one commit at a time. */
export class ResultQueue {
  private pending: NewResult[] = [];

  private isRunning = false;

  constructor(private readonly options: ResultQueueOptions) {}

  get length(): number {
    return this.pending.length;
  }

  has(itemIndex: number): boolean {
    return this.pending.some((result) => result.itemIndex === itemIndex);
  }

  add(result: NewResult): void {
    if (this.has(result.itemIndex)) return;
    this.pending.push(result);
    if (!this.isRunning) void this.run();
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.pending.length > 0) {
      const isDone = await this.commit();
      if (!isDone) break;
    }
    this.isRunning = false;
  }

  /** Returns false when nothing is left to be listed. */
  private async commit(): Promise<boolean> {
    const { jobs, table, reader, timer, log, jobId } = this.options;
    const known = table.find(jobId);
    if (known === undefined || known.ledger.isEnded) {
      this.pending = [];
      return false;
    }
    const listed = new Set(known.ledger.results.map(([itemIndex]) => itemIndex));
    this.pending = this.pending.filter(({ itemIndex }) => !listed.has(itemIndex));
    const results = this.nextBatch();
    if (results.length === 0) return false;
    const reply = await jobs.list(known, results);
    if (reply.isErr()) {
      const { code, message } = reply.error;
      log.write('results-not-listed', { job: jobId, results: results.length, code, message });
      await timer.sleep(RETRY_DELAY_MS);
      // The commit may have taken effect; the ledger tells.
      if (reply.error.outcome === Outcome.OutcomeUnknown) await jobs.read(jobId);
      return true;
    }
    if (reply.value !== CommitStatus.Committed) return true;
    const first = known.ledger.results.length;
    results.forEach(({ output }, index) => reader.cacheOutput(jobId, first + index, output));
    this.pending = this.pending.filter((result) => !results.includes(result));
    log.write('results-listed', { job: jobId, first, results: results.length });
    return true;
  }

  private nextBatch(): NewResult[] {
    const batch: NewResult[] = [];
    let size = 0;
    for (const result of this.pending) {
      size += result.output.length;
      if (
        batch.length >= MAX_RESULTS_PER_COMMIT ||
        (size > MAX_CHARACTERS_PER_COMMIT && batch.length > 0)
      )
        break;
      batch.push(result);
    }
    return batch;
  }
}
