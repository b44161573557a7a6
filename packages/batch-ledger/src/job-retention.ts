import {
  CommitStatus,
  MAX_TRANSACTION_ENTRIES,
  type TransactionalStore,
  type TransactionCondition,
  type TransactionWrite,
} from '@jujubelanding/platform';
import type { Log } from '@jujubelanding/log';
import { rankNodes } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { isFinished } from './job.js';
import type { JobTable, JobSnapshot } from './job-table.js';
import type { JobTransactions } from './job-transactions.js';
import type { KeySpace } from './key-space.js';
import type { TokenQuota } from './token-quota.js';

const CHECK_INTERVAL_MS = 10_000;

/** Tolerates clocks of VMs that differ by seconds; late removal does no harm. */
const CLOCK_SKEW_TOLERANCE_MS = 60_000;

export interface JobRetentionOptions {
  store: Pick<TransactionalStore, 'listStale'>;
  transactions: JobTransactions;
  timer: Timer;
  log: Log;
  keys: KeySpace;
  table: JobTable;
  quota: TokenQuota;
  self: string;
  listServing: () => readonly string[];
  /** Time after the submission of a job during which its results remain readable. */
  retentionMs: number;
}

/** Name by which the VM that removes jobs is chosen; a single one can remove several in a transaction. */
const ROLE = 'job-retention';

/** What has to be removed with a job. */
interface Removal {
  jobId: string;
  conditions: TransactionCondition[];
  writes: TransactionWrite[];
  /** Keys without which the job is not readable. */
  record: string[];
  /** Outputs and progress. */
  values: string[];
}

const countEntries = ({ conditions, writes, record, values }: Removal): number =>
  conditions.length + writes.length + record.length + values.length;

/**
 * Groups removals that fit into a transaction together. Those that change a counter stay alone, because
 * each submission on the route changes it too and would make the others wait.
 */
const groupRemovals = (removals: readonly Removal[]): Removal[][] => {
  const groups: Removal[][] = [];
  let size = Infinity;
  for (const removal of removals) {
    const entries = removal.writes.length > 0 ? Infinity : countEntries(removal);
    size += entries;
    if (size <= MAX_TRANSACTION_ENTRIES) groups.at(-1)!.push(removal);
    else {
      groups.push([removal]);
      size = entries;
    }
  }
  return groups;
};

/** Removes finished jobs from the store after the retention time. All are removed by a single VM. */
export class JobRetention {
  private subscription: Subscription | undefined;

  /** Jobs that were expired at the last check. */
  private expiredIds = new Set<string>();

  private isRemoving = false;

  constructor(private readonly options: JobRetentionOptions) {}

  start(): void {
    this.subscription = this.options.timer.every(CHECK_INTERVAL_MS, () => {
      void this.removeExpired();
    });
  }

  stop(): void {
    this.subscription?.cancel();
  }

  private async removeExpired(): Promise<void> {
    if (this.isRemoving) return;
    this.isRemoving = true;
    const expired = this.options.table.list().filter((snapshot) => this.isExpired(snapshot));
    // A list that may be seconds old is complete for a job that was finished at the check before.
    const due = expired.filter(({ job }) => this.expiredIds.has(job.id));
    this.expiredIds = new Set(expired.map(({ job }) => job.id));
    const removals: Removal[] = [];
    for (const snapshot of due) {
      const removal = await this.prepare(snapshot);
      if (removal !== undefined) removals.push(removal);
    }
    for (const group of groupRemovals(removals)) await this.remove(group);
    this.isRemoving = false;
  }

  private isExpired({ job, ledger }: JobSnapshot): boolean {
    const { timer, retentionMs, self, listServing } = this.options;
    const isRetentionOver =
      timer.wallClock() > job.submittedAt + retentionMs + CLOCK_SKEW_TOLERANCE_MS;
    if (!isRetentionOver || !isFinished(job, ledger)) return false;
    return rankNodes(ROLE, [self, ...listServing()])[0] === self;
  }

  private async prepare({
    job,
    ledger,
    ledgerRevision,
    ownerRevision,
  }: JobSnapshot): Promise<Removal | undefined> {
    const { keys, quota } = this.options;
    const progress = await this.listProgress(job.id);
    if (progress === undefined) return undefined;
    const outputs = ledger.results.map((_result, position) => keys.output(job.id, position));
    const counted = quota.release(job);
    const owner = ownerRevision === 0 ? [] : [keys.owner(job.id)];
    return {
      jobId: job.id,
      conditions: [{ key: keys.ledger(job.id), revision: ledgerRevision }, ...counted.conditions],
      writes: counted.writes,
      record: [keys.job(job.id), keys.ledger(job.id), keys.requests(job.id), ...owner],
      values: [...outputs, ...progress],
    };
  }

  /** Removes records before or with their results, so that a readable job always has its results. */
  private async remove(group: readonly Removal[]): Promise<void> {
    const { transactions, log } = this.options;
    const conditions = group.flatMap((removal) => removal.conditions);
    const writes = group.flatMap((removal) => removal.writes);
    const records = group.flatMap((removal) => removal.record);
    const values = group.flatMap((removal) => removal.values);
    const used = conditions.length + writes.length + records.length;
    const first = values.splice(0, MAX_TRANSACTION_ENTRIES - used);
    const removals = [...records, ...first];
    const reply = await transactions.commit({ conditions, writes, removals });
    const status = reply.isOk() ? reply.value.status : reply.error.code;
    if (status === CommitStatus.Conflict && group.length > 1) {
      for (const removal of group) await this.remove([removal]);
      return;
    }
    group.forEach(({ jobId }) => log.write('job-removed', { job: jobId, status }));
    if (status === CommitStatus.Committed) await this.removeValues(group[0]!.jobId, values);
  }

  /** Lists the keys of a job's progress; undefined if that fails, and the job is then removed later. */
  private async listProgress(jobId: string): Promise<string[] | undefined> {
    const { store, keys, log } = this.options;
    const prefix = keys.progressDeltas(jobId);
    const listed: string[] = [];
    for (;;) {
      const page = await store.listStale(prefix, listed.at(-1));
      if (page.isErr()) {
        log.write('values-not-listed', { prefix, code: page.error.code });
        return undefined;
      }
      listed.push(...page.value.entries.map(({ key }) => key));
      if (page.value.hasMore !== true || page.value.entries.length === 0) return listed;
    }
  }

  private async removeValues(jobId: string, values: readonly string[]): Promise<void> {
    const { transactions, log } = this.options;
    for (let first = 0; first < values.length; first += MAX_TRANSACTION_ENTRIES) {
      const removals = values.slice(first, first + MAX_TRANSACTION_ENTRIES);
      const reply = await transactions.commit({ conditions: [], writes: [], removals });
      if (reply.isErr()) {
        log.write('values-not-removed', { job: jobId, code: reply.error.code });
        return;
      }
    }
  }
}
