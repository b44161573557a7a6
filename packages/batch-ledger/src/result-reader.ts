import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { TransactionalStore } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { ItemState } from './job.js';
import type { JobStore } from './job-store.js';
import type { JobTable, JobSnapshot } from './job-table.js';
import type { KeySpace } from './key-space.js';

/** Longest text of one page of results, in characters. */
const MAX_PAGE_CHARACTERS = 800_000;

/** Outputs kept in memory, in characters over all jobs. */
const MAX_CACHED_CHARACTERS = 8_000_000;

/**
 * A table that the store confirmed within this time may say that a result is not there. Results that
 * another VM has shown must be shown everywhere after a second.
 */
const MAX_TABLE_AGE_MS = 800;

export interface ItemResult {
  itemId: string;
  state: ItemState;
  output: string;
}

export interface ResultPage {
  /** Number of items of the job. */
  total: number;
  results: ItemResult[];
}

export interface ResultReaderOptions {
  store: Pick<TransactionalStore, 'list'>;
  timer: Timer;
  keys: KeySpace;
  table: JobTable;
  jobs: JobStore;
  /** Milliseconds since the store last confirmed the table. */
  tableAgeMs: () => number;
}

/** Reads jobs and results; never says less than was said before on another VM a second ago. */
export class ResultReader {
  private readonly outputs = new Map<string, string>();

  private cachedCharacters = 0;

  constructor(private readonly options: ResultReaderOptions) {}

  /** Keeps an output that this VM has listed itself. */
  cacheOutput(jobId: string, position: number, output: string): void {
    const key = this.options.keys.output(jobId, position);
    if (this.outputs.has(key)) return;
    this.outputs.set(key, output);
    this.cachedCharacters += output.length;
    for (const [oldest, text] of this.outputs) {
      if (this.cachedCharacters <= MAX_CACHED_CHARACTERS) break;
      this.outputs.delete(oldest);
      this.cachedCharacters -= text.length;
    }
  }

  /** Returns the job; undefined only if the store knows none. */
  async find(jobId: string): Reply<JobSnapshot | undefined> {
    const known = this.options.table.find(jobId);
    return known === undefined ? this.readFromStore(jobId) : ok(known);
  }

  /** Returns the results from a position on, after waiting for the first of them. */
  async readPage(jobId: string, after: number, waitMs: number): Reply<ResultPage | undefined> {
    const found = await this.find(jobId);
    if (found.isErr()) return err(found.error);
    if (found.value === undefined) return ok(undefined);
    const waited = await this.waitForResult(found.value, after, waitMs);
    const confirmed = this.canAnswerFromTable(waited, after)
      ? ok(waited)
      : await this.readFromStore(jobId);
    if (confirmed.isErr()) return err(confirmed.error);
    const known = confirmed.value ?? waited;
    const total = known.job.items.length;
    const end = known.ledger.results.length;
    if (after >= end) return ok({ total, results: [] });
    const loaded = await this.load(jobId, after, end);
    if (loaded !== undefined) return err(loaded);
    return ok({ total, results: this.collectPage(known, after, end) });
  }

  /** True where the store need not be asked before the answer. */
  private canAnswerFromTable({ job, ledger }: JobSnapshot, after: number): boolean {
    const hasResult = ledger.results.length > after;
    return hasResult || after >= job.items.length || this.options.tableAgeMs() < MAX_TABLE_AGE_MS;
  }

  private async readFromStore(jobId: string): Reply<JobSnapshot | undefined> {
    const read = await this.options.jobs.read(jobId);
    if (read !== undefined && 'code' in read) return err(read);
    return ok(read);
  }

  private collectPage({ job, ledger }: JobSnapshot, after: number, end: number): ItemResult[] {
    const results: ItemResult[] = [];
    let size = 0;
    for (let position = after; position < end; position += 1) {
      const output = this.outputs.get(this.options.keys.output(job.id, position));
      const [itemIndex, state] = ledger.results[position]!;
      size += output?.length ?? 0;
      if (output === undefined || (size > MAX_PAGE_CHARACTERS && results.length > 0)) break;
      results.push({ itemId: job.items[itemIndex]!.id, state, output });
    }
    return results;
  }

  /** Waits until a result exists at the position, the job has ended or the time has passed. */
  private async waitForResult(
    known: JobSnapshot,
    after: number,
    waitMs: number,
  ): Promise<JobSnapshot> {
    const { table, timer } = this.options;
    const jobId = known.job.id;
    const readLatest = (): JobSnapshot => table.find(jobId) ?? known;
    const isWaitOver = (): boolean => {
      const { job, ledger } = readLatest();
      return ledger.results.length > after || ledger.isEnded || after >= job.items.length;
    };
    if (waitMs > 0 && !isWaitOver()) {
      await new Promise<void>((resolve) => {
        const timeout = timer.after(waitMs, resolve);
        const subscription = table.onChange((changed) => {
          if (changed !== jobId || !isWaitOver()) return;
          subscription.cancel();
          timeout.cancel();
          resolve();
        });
        timer.after(waitMs, () => subscription.cancel());
      });
    }
    return readLatest();
  }

  /** Reads the outputs that are not in memory; returns what went wrong. */
  private async load(jobId: string, after: number, end: number): Promise<Fault | undefined> {
    const { store, keys } = this.options;
    for (let position = after; position < end; position += 1) {
      if (this.outputs.has(keys.output(jobId, position))) continue;
      const afterKey = position === 0 ? undefined : keys.output(jobId, position - 1);
      const page = await store.list(keys.outputs(jobId), undefined, afterKey);
      if (page.isErr()) return page.error;
      page.value.entries.forEach(({ key, value }) => {
        this.cacheOutput(jobId, Number(key.slice(keys.outputs(jobId).length)), value);
      });
      if (!this.outputs.has(keys.output(jobId, position))) {
        return {
          code: FaultCode.Unavailable,
          outcome: Outcome.NotRun,
          step: 'read-output',
          message: `the output at position ${position} of job ${jobId} is not there yet`,
        };
      }
      return undefined;
    }
    return undefined;
  }
}
