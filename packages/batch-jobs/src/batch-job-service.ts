/** Batch job API for callers, available on every entry VM. */
import { FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type {
  BatchJobs,
  EntryVmIo,
  JobSubmission,
  Membership,
  SegmentStore,
  ShardTable,
  SubmittedJob,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { PeerMethod } from '@jujubelanding/peer-protocol';
import { computeShard } from '@jujubelanding/random';
import { JobStatus, type ItemResult, type JobRecord } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { Acceptance } from './acceptance.js';
import { FaultError, createNotRunFault } from './faults.js';
import type { JobOwner } from './job-owner.js';
import { JobRecords } from './job-records.js';
import { updateJob } from './update-job.js';
import { createTeamPrefix } from './keys.js';
import { parseResults } from './segment-json-lines.js';

/** A list returns at most this many jobs, the newest first. */
const MAX_LISTED_JOBS = 100;
const LIST_PAGE_ENTRIES = 500;
/** Few attempts suffice: the owner also watches its jobs, and a notice only speeds this up. */
const NOTICE_ATTEMPTS = 3;
const NOTICE_RETRY_DELAY_MS = 200;
/** Maximum time for which an owner that can't reach the key-value service treats its lease as valid. */
const OWNER_LEASE_MS = 4500;

export interface BatchJobServiceOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store' | 'network' | 'createLog'>;
  segments: SegmentStore;
  shards: ShardTable;
  membership: Membership;
  /** Job owner of this process. */
  owner: JobOwner;
}

export class BatchJobService implements BatchJobs {
  private readonly records: JobRecords;

  private readonly acceptance: Acceptance;

  private readonly log: Log;

  constructor(private readonly options: BatchJobServiceOptions) {
    this.records = new JobRecords(options.io);
    this.log = options.io.createLog('batch-jobs');
    this.acceptance = new Acceptance({ ...options, records: this.records });
  }

  async submit(submission: JobSubmission): Reply<SubmittedJob> {
    const submitted = await this.acceptance.submit(submission);
    if (submitted.isErr()) {
      const { code, outcome, step, message } = submitted.error;
      this.log.write('job-refused', { team: submission.team, code, outcome, step, message });
      return submitted;
    }
    const { job, resent } = submitted.value;
    const { id, team, itemCount } = job;
    this.log.write('job-accepted', { job: id, team, items: itemCount, resent });
    if (!resent) void this.notifyOwner(id);
    return submitted;
  }

  async get(jobId: string): Reply<JobRecord> {
    const stored = await this.records.read(jobId);
    if (stored.isErr()) return err(stored.error);
    if (stored.value === undefined) {
      return createNotRunFault(FaultCode.NotFound, 'job-get', `job ${jobId} does not exist`);
    }
    return ok(stored.value.record);
  }

  async list(team: string): Reply<JobRecord[]> {
    const prefix = createTeamPrefix(team);
    const indexEntries: { id: string; createdAt: number }[] = [];
    for (let afterKey: string | undefined; ;) {
      const page = await this.options.io.store.list(prefix, LIST_PAGE_ENTRIES, afterKey);
      if (page.isErr()) return err(page.error);
      const { entries } = page.value;
      indexEntries.push(
        ...entries.map(({ key, value }) => ({
          id: key.slice(prefix.length),
          createdAt: Number(value),
        })),
      );
      if (entries.length < LIST_PAGE_ENTRIES) break;
      afterKey = entries.at(-1)!.key;
    }
    const newest = indexEntries
      .toSorted((a, b) => b.createdAt - a.createdAt)
      .slice(0, MAX_LISTED_JOBS);
    const jobs: JobRecord[] = [];
    for (const { id } of newest) {
      const stored = await this.records.read(id);
      if (stored.isErr()) return err(stored.error);
      if (stored.value !== undefined) jobs.push(stored.value.record);
    }
    return ok(jobs);
  }

  /**
   * Cancels an open job; a completed job is returned unchanged. The cancellation is acknowledged once
   * the owner was notified or, if it can't be reached, once its lease has certainly ended.
   */
  async cancel(jobId: string): Reply<JobRecord> {
    const stored = await this.records.read(jobId);
    if (stored.isErr()) return err({ ...stored.error, outcome: Outcome.NotRun });
    if (stored.value === undefined) {
      return createNotRunFault(FaultCode.NotFound, 'job-cancel', `job ${jobId} does not exist`);
    }
    const endedAt = this.options.io.timer.wallClock();
    const cancelled = await updateJob(this.records, stored.value, (record) =>
      record.status === JobStatus.Open
        ? { ...record, status: JobStatus.Cancelled, endedAt }
        : undefined,
    );
    if (cancelled.isErr()) return err(cancelled.error);
    if (cancelled.value === undefined) {
      return createNotRunFault(FaultCode.NotFound, 'job-cancel', `job ${jobId} does not exist`);
    }
    const { record } = cancelled.value;
    this.log.write('job-cancelled', { job: jobId, status: record.status });
    if (record.status === JobStatus.Cancelled) await this.awaitOwnerNotified(jobId);
    return ok(record);
  }

  async *readResults(jobId: string, from: number, to: number): AsyncIterable<ItemResult> {
    const job = await this.get(jobId);
    if (job.isErr()) throw new FaultError(job.error);
    for (const chunk of job.value.chunks) {
      const end = chunk.firstItem + chunk.itemCount;
      if (chunk.result === undefined || end <= from || chunk.firstItem >= to) continue;
      const content = await this.options.segments.read(chunk.result);
      const results = content.andThen(parseResults);
      if (results.isErr()) throw new FaultError(results.error);
      yield* results.value.filter(({ index }) => index >= from && index < to);
    }
  }

  private async awaitOwnerNotified(jobId: string): Promise<void> {
    const { timer } = this.options.io;
    const cancelledAt = timer.now();
    if (await this.notifyOwner(jobId)) return;
    const remainingMs = cancelledAt + OWNER_LEASE_MS - timer.now();
    if (remainingMs > 0) await timer.sleep(remainingMs);
  }

  /** Notifies the owner of a changed job; returns true when it replied without an error. */
  private async notifyOwner(jobId: string): Promise<boolean> {
    const { shards, membership, io, owner } = this.options;
    const notice = { shard: computeShard(jobId), jobId };
    for (let attempt = 0; attempt < NOTICE_ATTEMPTS; attempt += 1) {
      const shardOwner = shards.ownerOf(notice.shard);
      if (shardOwner !== undefined) {
        const isSelf = shardOwner.entryVmId === membership.self().entryVmId;
        const notified = isSelf
          ? await owner.notifyJobChanged(notice)
          : await io.network.call(shardOwner, PeerMethod.NotifyJobChanged, notice);
        if (notified.isOk()) return true;
      }
      await io.timer.sleep(NOTICE_RETRY_DELAY_MS);
    }
    return false;
  }
}
