/** Acquires and releases the ownership of jobs. */
import {
  hasFirstOwner,
  isFinished,
  type ItemRequests,
  type JobStore,
  type JobTable,
  type JobSnapshot,
  type Ownership,
  type ProgressStore,
  type ResultReader,
  type StoredProgress,
} from '@jujubelanding/batch-ledger';
import type { Fault, Reply } from '@jujubelanding/errors';
import type { FleetLoad } from '@jujubelanding/fleet-load';
import type { Log } from '@jujubelanding/log';
import type { Timer } from '@jujubelanding/timer';
import { ok, Result } from 'neverthrow';
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
  requests: Pick<ItemRequests, 'read'>;
  loads: Pick<FleetLoad, 'listServing'>;
  /** Returns the boot id under which another VM is registered. */
  bootIdOf: (entryVmId: string) => string | undefined;
  self: Ownership;
  /** Called once the items of a job may be started. */
  onOpened: () => void;
}

interface Entry {
  ownedJob: OwnedJob;
  saver: ProgressSaver;
}

/** Delay before reading the progress of a job again after a failure. */
const READ_RETRY_DELAY_MS = 400;

/** Maximum wait for the results of a job that is released; the store may be down. */
const MAX_FLUSH_MS = 500;

const EMPTY_PROGRESS = { progress: {}, sequence: 0 };

/** The jobs that this VM owns, kept in line with the owner entries in the store. */
export class OwnedJobs {
  private readonly entries = new Map<string, Entry>();

  /** Jobs whose ownership is being taken or whose stored progress is being read. */
  private readonly openingJobIds = new Set<string>();

  /** Owner of each job as last seen, in case its entry disappears. */
  private readonly formerOwners = new Map<string, Ownership>();

  /** Time at which each job was first seen without an owner. */
  private readonly orphanedSince = new Map<string, number>();

  private isStopping = false;

  constructor(private readonly options: OwnedJobsOptions) {}

  list(): OwnedJob[] {
    return [...this.entries.values()].map(({ ownedJob }) => ownedJob);
  }

  /** Reconciles all jobs and saves progress that is due. */
  tick(): void {
    const jobIds = new Set([...this.options.table.listUnfinishedIds(), ...this.entries.keys()]);
    jobIds.forEach((jobId) => this.reconcile(jobId));
    this.entries.forEach(({ saver }) => {
      void saver.saveIfDue();
    });
  }

  /** Cancels all runs and stops taking jobs. */
  close(): void {
    this.isStopping = true;
    this.entries.forEach(({ ownedJob }) => ownedJob.cancelRuns());
  }

  /** Releases all jobs, with the progress of their items. */
  async release(): Promise<void> {
    await Promise.all(
      [...this.entries.values()].map(async ({ ownedJob, saver }) => {
        // The next owner would run items again whose results are not in the ledger.
        await Promise.race([ownedJob.results.flush(), this.options.timer.sleep(MAX_FLUSH_MS)]);
        const isReleased = await saver.release();
        const fields = { job: ownedJob.jobId, items: ownedJob.items.size, released: isReleased };
        this.options.log.write('job-released', fields);
      }),
    );
  }

  /** Starts, takes or drops a job according to its ledger and owner entry. */
  reconcile(jobId: string): void {
    const snapshot = this.options.table.find(jobId);
    if (snapshot === undefined || isFinished(snapshot.job, snapshot.ledger)) {
      this.drop(jobId, 'finished');
      return;
    }
    const entry = this.entries.get(jobId);
    entry?.ownedJob.update(snapshot);
    const { owner } = snapshot;
    if (owner !== undefined) this.formerOwners.set(jobId, owner);
    if (owner === undefined) {
      this.takeOwnershipIfDue(snapshot, entry !== undefined);
    } else if (owner.bootId === this.options.self.bootId) {
      this.orphanedSince.delete(jobId);
      if (!this.openingJobIds.has(jobId)) this.openOrRenew(snapshot, entry);
    } else if (owner.entryVmId === this.options.self.entryVmId) {
      // The owner is an earlier process of this VM, which no longer executes the job.
      if (!this.openingJobIds.has(jobId)) void this.takeOwnership(snapshot);
    } else {
      this.orphanedSince.delete(jobId);
      this.drop(jobId, 'taken by another VM');
    }
  }

  private takeOwnershipIfDue(snapshot: JobSnapshot, isExecutedHere: boolean): void {
    const { timer, self, loads } = this.options;
    const jobId = snapshot.job.id;
    const now = timer.now();
    const since = this.orphanedSince.get(jobId) ?? now;
    this.orphanedSince.set(jobId, since);
    if (this.openingJobIds.has(jobId) || this.isStopping) return;
    const serving = loads.listServing();
    const orphan = {
      jobId,
      isExecutedHere,
      orphanedMs: now - since,
      isFormerOwnerAlive: this.isFormerOwnerAlive(jobId, serving),
    };
    if (mayTakeOver(orphan, self.entryVmId, serving)) void this.takeOwnership(snapshot);
  }

  /** True if another VM that owned the job still sends messages; a restarted one has no work left. */
  private isFormerOwnerAlive(jobId: string, serving: readonly string[]): boolean {
    const former = this.formerOwners.get(jobId);
    const { bootIdOf, self } = this.options;
    if (former === undefined || former.entryVmId === self.entryVmId) return false;
    const isSameRun = bootIdOf(former.entryVmId) === former.bootId;
    return serving.includes(former.entryVmId) && isSameRun;
  }

  private async takeOwnership(snapshot: JobSnapshot): Promise<void> {
    const jobId = snapshot.job.id;
    const { jobs, log } = this.options;
    this.openingJobIds.add(jobId);
    const taken = await jobs.takeOwnership(snapshot);
    this.openingJobIds.delete(jobId);
    if (taken.isErr() || !taken.value) {
      log.write('job-not-taken', { job: jobId, code: taken.isErr() ? taken.error.code : 'taken' });
      return;
    }
    log.write('job-taken', { job: jobId, held: this.entries.has(jobId) });
    this.reconcile(jobId);
  }

  /**
   * Opens a job that this VM owns. One that it executes already is compared with the stored progress if its
   * ownership entry is a new one.
   */
  private openOrRenew(snapshot: JobSnapshot, entry: Entry | undefined): void {
    if (entry === undefined) void this.open(snapshot);
    else if (entry.saver.ownerRevision !== snapshot.ownerRevision) {
      void this.renew(snapshot, entry.ownedJob);
    }
  }

  /** Starts executing a job from the progress that former owners have stored. */
  private async open(snapshot: JobSnapshot): Promise<void> {
    const { jobs, table, reader, timer, log, requests, onOpened } = this.options;
    const { job } = snapshot;
    this.openingJobIds.add(job.id);
    const read = await this.readProgress(snapshot);
    const requestsOfJob = await requests.read(job);
    const loaded = Result.combine([read, requestsOfJob]);
    if (loaded.isErr()) {
      this.retryOpening(job.id, loaded.error);
      return;
    }
    this.openingJobIds.delete(job.id);
    const current = table.find(job.id);
    if (current === undefined || this.isStopping || this.entries.has(job.id)) return;
    // The job may have ended while its progress was read; nothing would stop its items then.
    if (isFinished(current.job, current.ledger)) return;
    // Another VM may have owned the job since, and have stored progress.
    if (current.ownerRevision !== snapshot.ownerRevision) return;
    const results = new ResultQueue({ jobs, table, reader, timer, log, jobId: job.id });
    const dueAt = job.submittedAt + job.dueMs;
    const ownedJob = new OwnedJob(job.id, dueAt, results, current, ...loaded.value);
    this.attachSaver(ownedJob);
    const isFirstOwner = hasFirstOwner(current);
    log.write('job-opened', { job: job.id, isFirstOwner, deltas: ownedJob.deltaBuilder.sequence });
    onOpened();
  }

  /** Continues to execute a job that this VM owns again; another VM may have executed it meanwhile. */
  private async renew(snapshot: JobSnapshot, ownedJob: OwnedJob): Promise<void> {
    const { table, log } = this.options;
    const { jobId } = ownedJob;
    this.openingJobIds.add(jobId);
    const read = await this.readProgress(snapshot);
    if (read.isErr()) {
      this.retryOpening(jobId, read.error);
      return;
    }
    this.openingJobIds.delete(jobId);
    if (this.entries.get(jobId)?.ownedJob !== ownedJob) return;
    if (table.find(jobId)?.ownerRevision !== snapshot.ownerRevision) return;
    const replaced = ownedJob.adopt(read.value);
    log.write('job-renewed', { job: jobId, items: ownedJob.items.size, replaced });
    this.attachSaver(ownedJob);
  }

  /** Reads the progress that former owners may have stored; new deltas get the next sequence numbers. */
  private readProgress(snapshot: JobSnapshot): Reply<StoredProgress> {
    if (hasFirstOwner(snapshot)) return Promise.resolve(ok(EMPTY_PROGRESS));
    return this.options.progress.read(snapshot.job.id);
  }

  private retryOpening(jobId: string, { code }: Fault): void {
    const { timer, log } = this.options;
    log.write('job-not-opened', { job: jobId, code });
    timer.after(READ_RETRY_DELAY_MS, () => this.openingJobIds.delete(jobId));
  }

  /** Stores the progress of a job from now on. */
  private attachSaver(ownedJob: OwnedJob): void {
    const { timer, log, progress, table } = this.options;
    const saver = new ProgressSaver({ timer, log, progress, table, ownedJob });
    ownedJob.results.attach(saver);
    this.entries.set(ownedJob.jobId, { ownedJob, saver });
  }

  private drop(jobId: string, reason: string): void {
    const entry = this.entries.get(jobId);
    this.orphanedSince.delete(jobId);
    this.formerOwners.delete(jobId);
    if (entry === undefined) return;
    entry.ownedJob.cancelRuns();
    this.entries.delete(jobId);
    this.options.log.write('job-dropped', { job: jobId, reason });
  }
}
