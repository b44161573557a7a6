/** Decides which jobs this VM executes, and hands them over. */
import {
  isFinished,
  type JobStore,
  type JobTable,
  type JobSnapshot,
  type Ownership,
  type ProgressStore,
  type ResultReader,
} from '@jujubelanding/batch-ledger';
import type { FleetLoad } from '@jujubelanding/fleet-load';
import type { Log } from '@jujubelanding/log';
import type { Timer } from '@jujubelanding/timer';
import { ok } from 'neverthrow';
import { OwnedJob } from './owned-job.js';
import { ProgressSaver } from './progress-saver.js';
import { ResultQueue } from './result-queue.js';
import { mayTakeOver } from './takeover.js';

export interface OwnedJobsOptions {
  timer: Timer;
  log: Log;
  table: JobTable;
  jobs: JobStore;
  progress: ProgressStore;
  reader: ResultReader;
  loads: Pick<FleetLoad, 'listServing'>;
  self: Ownership;
  /** Called once the items of a job may be started. */
  onOpened: () => void;
}

interface Entry {
  owned: OwnedJob;
  saver: ProgressSaver;
}

/** Pause before the progress of a taken job is read again. */
const READ_RETRY_DELAY_MS = 400;

const EMPTY_PROGRESS = { progress: {}, sequence: 0 };

/** Jobs that this VM owns; follows the store's records of them. */
export class OwnedJobs {
  private readonly entries = new Map<string, Entry>();

  /** Jobs that are being taken, or whose progress is being read. */
  private readonly openingJobIds = new Set<string>();

  /** Taken jobs whose progress has not been read; without it new parts would overwrite old ones. */
  private readonly unreadProgressJobIds = new Set<string>();

  /** Time since which a job has had no owner. */
  private readonly orphanedSince = new Map<string, number>();

  private isStopping = false;

  constructor(private readonly options: OwnedJobsOptions) {}

  list(): OwnedJob[] {
    return [...this.entries.values()].map(({ owned }) => owned);
  }

  /** Reviews all jobs and saves progress where it is time. */
  tick(): void {
    this.options.table.list().forEach(({ job }) => this.reconcile(job.id));
    this.entries.forEach(({ saver }) => {
      void saver.saveIfDue();
    });
  }

  /** Ends all runs; takes no further job. */
  close(): void {
    this.isStopping = true;
    this.entries.forEach(({ owned }) => owned.cancelRuns());
  }

  /** Hands all jobs over, with what has arrived of their items. */
  async release(): Promise<void> {
    await Promise.all(
      [...this.entries.values()].map(async ({ owned, saver }) => {
        const isReleased = await saver.release();
        const fields = { job: owned.jobId, items: owned.items.size, released: isReleased };
        this.options.log.write('job-released', fields);
      }),
    );
  }

  /** Brings the ownership of a job in line with its record. */
  reconcile(jobId: string): void {
    const known = this.options.table.find(jobId);
    if (known === undefined || isFinished(known.job, known.ledger)) {
      this.drop(jobId, 'finished');
      return;
    }
    const hasLocalRuns = this.entries.has(jobId);
    this.entries.get(jobId)?.owned.update(known);
    const { owner } = known;
    if (owner === undefined) {
      this.takeOwnershipIfDue(known, hasLocalRuns);
    } else if (owner.bootId === this.options.self.bootId) {
      this.orphanedSince.delete(jobId);
      if (!hasLocalRuns && !this.openingJobIds.has(jobId)) void this.open(known);
    } else if (owner.entryVmId === this.options.self.entryVmId) {
      // An earlier run of this VM cannot work on it any more.
      if (!this.openingJobIds.has(jobId)) void this.takeOwnership(known);
    } else {
      this.orphanedSince.delete(jobId);
      this.drop(jobId, 'taken by another VM');
    }
  }

  private takeOwnershipIfDue(known: JobSnapshot, hasLocalRuns: boolean): void {
    const { timer, self, loads } = this.options;
    const jobId = known.job.id;
    const now = timer.now();
    const since = this.orphanedSince.get(jobId) ?? now;
    this.orphanedSince.set(jobId, since);
    if (this.openingJobIds.has(jobId) || this.isStopping) return;
    const orphan = { jobId, hasLocalRuns: hasLocalRuns, orphanedMs: now - since };
    if (mayTakeOver(orphan, self.entryVmId, loads.listServing())) void this.takeOwnership(known);
  }

  private async takeOwnership(known: JobSnapshot): Promise<void> {
    const jobId = known.job.id;
    const { jobs, log } = this.options;
    this.openingJobIds.add(jobId);
    const taken = await jobs.takeOwnership(known);
    this.openingJobIds.delete(jobId);
    if (taken.isErr() || !taken.value) {
      log.write('job-not-taken', { job: jobId, code: taken.isErr() ? taken.error.code : 'taken' });
      return;
    }
    log.write('job-taken', { job: jobId, held: this.entries.has(jobId) });
    if (this.entries.has(jobId)) return;
    this.unreadProgressJobIds.add(jobId);
    await this.open(known);
  }

  /** Begins the work on a job; one that was taken over may have progress of its former owner. */
  private async open({ job }: JobSnapshot): Promise<void> {
    const { jobs, table, reader, timer, log, progress, onOpened } = this.options;
    this.openingJobIds.add(job.id);
    const read = this.unreadProgressJobIds.has(job.id)
      ? await progress.read(job.id)
      : ok(EMPTY_PROGRESS);
    if (read.isErr()) {
      log.write('progress-not-read', { job: job.id, code: read.error.code });
      timer.after(READ_RETRY_DELAY_MS, () => this.openingJobIds.delete(job.id));
      return;
    }
    this.openingJobIds.delete(job.id);
    this.unreadProgressJobIds.delete(job.id);
    const current = table.find(job.id);
    if (current === undefined || this.isStopping || this.entries.has(job.id)) return;
    const results = new ResultQueue({ jobs, table, reader, timer, log, jobId: job.id });
    const dueAt = job.submittedAt + job.dueMs;
    const owned = new OwnedJob(job.id, dueAt, results, current, read.value);
    const saver = new ProgressSaver({ timer, log, progress, table, owned });
    this.entries.set(job.id, { owned, saver });
    onOpened();
  }

  private drop(jobId: string, reason: string): void {
    const entry = this.entries.get(jobId);
    this.orphanedSince.delete(jobId);
    if (entry === undefined) return;
    entry.owned.cancelRuns();
    this.entries.delete(jobId);
    this.options.log.write('job-dropped', { job: jobId, reason });
  }
}
