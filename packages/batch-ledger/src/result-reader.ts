import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { TransactionalStore } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { ItemState } from './job.js';
import type { JobStore } from './job-store.js';
import type { JobTable, JobSnapshot } from './job-table.js';
import type { KeySpace } from './key-space.js';

/** Maximum total output length of a page of results, in characters. */
const MAX_PAGE_CHARACTERS = 800_000;

/** Maximum total length of the outputs cached in memory, in characters over all jobs. */
const MAX_CACHED_CHARACTERS = 8_000_000;

/**
 * Maximum age of a table from which a result may be reported as missing. A result that one VM has
 * returned must be visible on every VM after a second.
 */
const MAX_TABLE_AGE_MS = 800;

/** Time in which a new job reaches the tables of all VMs, with a margin. */
const NEW_JOB_WAIT_MS = 700;

export interface ResultPageEntry {
  itemId: string;
  state: ItemState;
  output: string;
}

export interface ResultPage {
  /** Number of items in the job. */
  total: number;
  results: ResultPageEntry[];
}

export interface ResultReaderOptions {
  store: Pick<TransactionalStore, 'list' | 'listStale'>;
  timer: Timer;
  keys: KeySpace;
  table: JobTable;
  jobs: JobStore;
  /** Milliseconds since the store last confirmed that the table is current. */
  tableAgeMs: () => number;
}

/**
 * Reads jobs and results. A result that another VM returned at least a second ago is never reported as
 * missing.
 */
export class ResultReader {
  private readonly outputs = new Map<string, string>();

  private cachedCharacters = 0;

  constructor(private readonly options: ResultReaderOptions) {}

  /** Caches an output and evicts the oldest ones beyond the size limit. */
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

  /** Returns the job; undefined only if it does not exist in the store. */
  async find(jobId: string): Reply<JobSnapshot | undefined> {
    const snapshot = this.options.table.find(jobId);
    return snapshot === undefined ? this.readFromStore(jobId) : ok(snapshot);
  }

  /** Returns the results from a position onwards; waits up to the given time for the first of them. */
  async readPage(jobId: string, after: number, waitMs: number): Reply<ResultPage | undefined> {
    const startedAt = this.options.timer.now();
    await this.waitForJob(jobId, Math.min(waitMs, NEW_JOB_WAIT_MS));
    if (this.isNew(jobId)) return this.readNewJob(jobId);
    const lookup = await this.find(jobId);
    if (lookup.isErr()) return err(lookup.error);
    if (lookup.value === undefined) return ok(undefined);
    const remainingMs = startedAt + waitMs - this.options.timer.now();
    const waited = await this.waitForResult(lookup.value, after, remainingMs);
    const current = this.canAnswerFromTable(waited, after)
      ? ok(waited)
      : await this.readFromStore(jobId);
    if (current.isErr()) return err(current.error);
    const snapshot = current.value ?? waited;
    const total = snapshot.job.items.length;
    const end = snapshot.ledger.results.length;
    if (after >= end) return ok({ total, results: [] });
    const loadFault = await this.load(jobId, after, end);
    if (loadFault !== undefined) return err(loadFault);
    return ok({ total, results: this.collectPage(snapshot, after, end) });
  }

  /** Waits until the table has a job of another VM; its record need not be read then. */
  private async waitForJob(jobId: string, maxMs: number): Promise<void> {
    const { table, timer } = this.options;
    if (maxMs <= 0 || table.find(jobId) !== undefined) return;
    await new Promise<void>((resolve) => {
      const timeout = timer.after(maxMs, resolve);
      const subscription = table.onChange((changed) => {
        if (changed !== jobId || table.find(jobId) === undefined) return;
        subscription.cancel();
        timeout.cancel();
        resolve();
      });
      timer.after(maxMs, () => subscription.cancel());
    });
  }

  /** True if a job is younger than the table, or does not exist. */
  private isNew(jobId: string): boolean {
    const { table, tableAgeMs } = this.options;
    return !table.has(jobId) && tableAgeMs() < MAX_TABLE_AGE_MS;
  }

  /** A job that is younger than the table has no result that another VM returned a second ago. */
  private async readNewJob(jobId: string): Reply<ResultPage | undefined> {
    const record = await this.options.jobs.readRecord(jobId);
    return record.map((job) => job && { total: job.items.length, results: [] });
  }

  /** True if the table is sufficient and the store does not have to be read. */
  private canAnswerFromTable({ job, ledger }: JobSnapshot, after: number): boolean {
    const hasResult = ledger.results.length > after;
    return hasResult || after >= job.items.length || this.options.tableAgeMs() < MAX_TABLE_AGE_MS;
  }

  private async readFromStore(jobId: string): Reply<JobSnapshot | undefined> {
    const read = await this.options.jobs.read(jobId);
    if (read !== undefined && 'code' in read) return err(read);
    return ok(read);
  }

  private collectPage({ job, ledger }: JobSnapshot, after: number, end: number): ResultPageEntry[] {
    const results: ResultPageEntry[] = [];
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

  /** Waits until there is a result at the position, the job has ended or the time has elapsed. */
  private async waitForResult(
    snapshot: JobSnapshot,
    after: number,
    waitMs: number,
  ): Promise<JobSnapshot> {
    const { table, timer } = this.options;
    const jobId = snapshot.job.id;
    const readLatest = (): JobSnapshot => table.find(jobId) ?? snapshot;
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

  /**
   * Reads a page of outputs into the cache, from the first position that is not cached; returns the
   * fault if that fails. Outputs never change, so a read that may be seconds old is tried first: it
   * either has the output or lacks it.
   */
  private async load(jobId: string, after: number, end: number): Promise<Fault | undefined> {
    const { keys } = this.options;
    for (let position = after; position < end; position += 1) {
      if (this.outputs.has(keys.output(jobId, position))) continue;
      // A fault of this read matters only if the full read, which follows, fails too.
      const stale = await this.loadFrom(jobId, position, true);
      if (stale === undefined && this.outputs.has(keys.output(jobId, position))) return undefined;
      const fault = await this.loadFrom(jobId, position, false);
      if (fault !== undefined || this.outputs.has(keys.output(jobId, position))) return fault;
      return {
        code: FaultCode.Unavailable,
        outcome: Outcome.NotRun,
        step: 'read-output',
        message: `the output at position ${position} of job ${jobId} is not in the store yet`,
      };
    }
    return undefined;
  }

  private async loadFrom(
    jobId: string,
    position: number,
    mayBeStale: boolean,
  ): Promise<Fault | undefined> {
    const { store, keys } = this.options;
    const prefix = keys.outputs(jobId);
    const afterKey = position === 0 ? undefined : keys.output(jobId, position - 1);
    const page = mayBeStale
      ? await store.listStale(prefix, afterKey)
      : await store.list(prefix, undefined, afterKey);
    if (page.isErr()) return page.error;
    page.value.entries.forEach(({ key, value }) => {
      this.cacheOutput(jobId, Number(key.slice(prefix.length)), value);
    });
    return undefined;
  }
}
