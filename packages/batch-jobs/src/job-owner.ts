/** Owner of the jobs in the shards of this VM: grants their chunks and commits the results. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import type {
  Configuration,
  EntryVmIo,
  EntryVmSettings,
  Membership,
  SegmentStore,
  ShardTable,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import {
  CompletionStatus,
  PeerMethod,
  ProgressDecision,
  type ChunkCompletion,
  type ChunkGrant,
  type ChunkRequest,
  type JobNotice,
  type ListedGrant,
  type ProgressReply,
  type ProgressReport,
} from '@jujubelanding/peer-protocol';
import { computeShard } from '@jujubelanding/random';
import type { Subscription } from '@jujubelanding/timer';
import { JobControl, JobStatus } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { replyFromRecord } from './completion-reply.js';
import { CopyRepair, type RequestCopy } from './copy-repair.js';
import { createNotRunFault } from './faults.js';
import { toChunkGrant } from './chunk-grant.js';
import { JobRecords } from './job-records.js';
import { updateJob } from './update-job.js';
import { OpenChunkAdvertiser } from './open-chunk-advertiser.js';
import { ProgressResponder } from './progress-responder.js';
import { removeExpired } from './retention.js';
import { createSchedulePolicy } from './schedule-policy.js';
import {
  GRANT_TIMEOUT_MS,
  chooseChunks,
  extendGrant,
  type ChunkChoice,
  type OpenJob,
  type SchedulePolicy,
} from './schedule.js';
import { ShardJobs } from './shard-jobs.js';

const CONTROL_INTERVAL_MS = 1000;
const RETENTION_INTERVAL_MS = 60_000;

export interface JobOwnerOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store' | 'network' | 'createLog' | 'metrics'>;
  settings: Pick<EntryVmSettings, 'resultRetentionMs' | 'segmentCopies'>;
  configuration: Configuration;
  shards: ShardTable;
  membership: Membership;
  segments: SegmentStore & { requestCopy: RequestCopy };
}

export class JobOwner {
  private readonly log: Log;

  private readonly records: JobRecords;

  private readonly copyRepair: CopyRepair;

  private readonly progress: ProgressResponder;

  private readonly openChunks: OpenChunkAdvertiser;

  private readonly policy: SchedulePolicy;

  private readonly shardJobs = new Map<number, ShardJobs>();

  private subscriptions: Subscription[] = [];

  private isRunning = false;

  constructor(private readonly options: JobOwnerOptions) {
    this.log = options.io.createLog('job-owner');
    this.records = new JobRecords(options.io);
    this.policy = createSchedulePolicy(options.configuration);
    this.openChunks = new OpenChunkAdvertiser({
      timer: options.io.timer,
      membership: options.membership,
      policy: this.policy,
      listJobs: () => this.listOpenJobs(),
    });
    this.progress = new ProgressResponder({
      ...options,
      evaluateGrant: (executorId, grant) => this.evaluateGrant(executorId, grant),
    });
    this.copyRepair = new CopyRepair({
      ...options,
      log: this.log,
      records: this.records,
      listShards: () => [...this.shardJobs.values()],
    });
  }

  start(): void {
    const { network, timer } = this.options.io;
    this.isRunning = true;
    this.progress.start();
    network.handle(PeerMethod.RequestChunk, (request) => this.requestChunk(request));
    network.handle(PeerMethod.ReportProgress, (report) => this.reportProgress(report));
    network.handle(PeerMethod.CompleteChunk, (completion) => this.completeChunk(completion));
    network.handle(PeerMethod.NotifyJobChanged, (notice) => this.notifyJobChanged(notice));
    this.subscriptions = [
      this.options.shards.onChange(() => this.syncShards()),
      this.options.configuration.onChange(() => this.applyJobControls()),
      timer.every(CONTROL_INTERVAL_MS, () => this.applyJobControls()),
      this.openChunks.start(),
      timer.every(RETENTION_INTERVAL_MS, () => {
        void removeExpired({ ...this.options, log: this.log, shards: this.listLoadedShards() });
      }),
    ];
    this.copyRepair.start();
    this.syncShards();
  }

  stop(): void {
    this.isRunning = false;
    this.copyRepair.stop();
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.shardJobs.forEach((jobs) => jobs.close());
    this.shardJobs.clear();
  }

  /** Grants chunks from all shards that this VM owns, not only from the requested shard. */
  async requestChunk(request: ChunkRequest): Reply<{ grants: ChunkGrant[] }> {
    const { io, shards } = this.options;
    const owned = this.listLoadedShards().filter((jobs) => this.getValidFence(jobs) !== undefined);
    if (owned.length === 0 && shards.owned().length === 0) {
      return createNotRunFault(
        FaultCode.NotOwner,
        'request-chunk',
        `this VM does not own shard ${request.shard}`,
      );
    }
    const open = owned.flatMap((jobs) => [...jobs.open.values()]);
    const choices = chooseChunks(open, request, this.policy, io.timer.now());
    return ok({ grants: choices.map((choice) => this.grant(choice, request.executorId)) });
  }

  /** Handles reports by call: from this VM, and from executors whose datagrams get no answer. */
  async reportProgress({ shard, executorId, grants }: ProgressReport): Reply<ProgressReply> {
    const verdicts = grants.flatMap(
      ({ jobId, chunk, grantId }) =>
        this.evaluateGrant(executorId, [shard, jobId, chunk, grantId]) ?? [],
    );
    if (verdicts.length === grants.length) return ok({ verdicts });
    return createNotRunFault(
      FaultCode.NotOwner,
      'report-progress',
      `shard ${shard} is not ready here`,
    );
  }

  /** Replies `committed` only after the result is durable in the job record. */
  async completeChunk(completion: ChunkCompletion): Reply<{ status: CompletionStatus }> {
    const { shard, jobId, chunk } = completion;
    const jobs = this.shardJobs.get(shard);
    if (jobs?.loaded !== true || this.getValidFence(jobs) === undefined) {
      return createNotRunFault(
        FaultCode.NotOwner,
        'complete-chunk',
        `shard ${shard} is not ready here`,
      );
    }
    const job = jobs.open.get(jobId);
    const queue = jobs.getCommitQueue(jobId);
    if (job === undefined || queue === undefined) return replyFromRecord(this.records, completion);
    if (job.record.chunks[chunk] === undefined) {
      return createNotRunFault(
        FaultCode.InvalidInput,
        'complete-chunk',
        `chunk ${chunk} does not exist`,
      );
    }
    if (job.record.chunks[chunk].result !== undefined) {
      return ok({ status: CompletionStatus.Committed });
    }
    return queue.add(completion);
  }

  /** Reads the record of a job that was just created or cancelled. */
  async notifyJobChanged({ shard, jobId }: JobNotice): Reply<Record<string, never>> {
    const jobs = this.shardJobs.get(shard);
    if (jobs?.loaded !== true) {
      return createNotRunFault(
        FaultCode.NotOwner,
        'notify-job',
        `shard ${shard} is not ready here`,
      );
    }
    return this.refreshJob(jobs, jobId);
  }

  /** Lists the open jobs of all shards that have been loaded. */
  listOpenJobs(): OpenJob[] {
    return this.listLoadedShards().flatMap((jobs) => [...jobs.open.values()]);
  }

  /**
   * Reads a changed record. The job is suspended until the read succeeds, because a change to a loaded
   * job is most likely its cancellation.
   */
  private async refreshJob(jobs: ShardJobs, jobId: string): Reply<Record<string, never>> {
    const stored = await this.records.read(jobId);
    if (stored.isErr()) {
      const job = jobs.open.get(jobId);
      if (job !== undefined) {
        job.isSuspended = true;
        this.progress.stopJob(job);
      }
      return err(stored.error);
    }
    if (stored.value !== undefined) jobs.apply(stored.value);
    return ok({});
  }

  private grant({ job, chunk }: ChunkChoice, executorId: string): ChunkGrant {
    const { timer, random } = this.options.io;
    const { record } = job;
    const shard = computeShard(record.id);
    const grantId = random.createId();
    const deadline = timer.now() + GRANT_TIMEOUT_MS;
    job.grants.set(chunk.index, { grantId, executorId, deadline });
    this.log.write('chunk-granted', { job: record.id, chunk: chunk.index, executorId, grantId });
    return toChunkGrant(record, chunk, { grantId, shard, fence: this.shardJobs.get(shard)!.fence });
  }

  /** Extends or stops a grant; undefined when this VM does not own its shard or has not loaded it. */
  private evaluateGrant(
    executorId: string,
    [shard, jobId, chunk, grantId]: ListedGrant,
  ): ProgressDecision | undefined {
    const jobs = this.shardJobs.get(shard);
    if (jobs?.loaded !== true || this.getValidFence(jobs) === undefined) return undefined;
    const job = jobs.open.get(jobId);
    const report = { grantId, executorId };
    const now = this.options.io.timer.now();
    const grant = job && extendGrant(job, chunk, report, this.policy, now);
    if (grant === undefined) {
      this.log.write('grant-stopped', { job: jobId, chunk, grant: grantId });
      return ProgressDecision.Stop;
    }
    job!.grants.set(chunk, grant);
    return ProgressDecision.Continue;
  }

  /** Cancels the open jobs of cancelled job classes, and reads the records of suspended jobs again. */
  private applyJobControls(): void {
    this.listLoadedShards().forEach((jobs) => {
      jobs.open.forEach((job) => {
        if (job.isSuspended) void this.refreshJob(jobs, job.record.id);
        if (this.policy.controlOf(job.record.jobClass) === JobControl.Cancelled) {
          void this.cancel(jobs, job);
        }
      });
    });
  }

  private async cancel(jobs: ShardJobs, job: OpenJob): Promise<void> {
    const { record, revision } = job;
    const endedAt = this.options.io.timer.wallClock();
    const cancelled = await updateJob(
      this.records,
      { record, revision },
      (current) =>
        current.status === JobStatus.Open
          ? { ...current, status: JobStatus.Cancelled, endedAt, fence: jobs.fence }
          : undefined,
      () => this.getValidFence(jobs) !== undefined,
    );
    if (cancelled.isErr()) return;
    if (cancelled.value !== undefined) jobs.apply(cancelled.value);
    this.log.write('job-cancelled', { job: record.id, jobClass: record.jobClass });
  }

  private listLoadedShards(): ShardJobs[] {
    return [...this.shardJobs.values()].filter((jobs) => jobs.loaded);
  }

  private getValidFence(jobs: ShardJobs): number | undefined {
    const fence = this.options.shards.fenceOf(jobs.shard);
    return fence === jobs.fence ? fence : undefined;
  }

  /** Starts to serve gained shards and discards the state of lost ones. */
  private syncShards(): void {
    if (!this.isRunning) return;
    const owned = new Map(this.options.shards.owned().map(({ shard, fence }) => [shard, fence]));
    this.shardJobs.forEach((jobs, shard) => {
      if (owned.get(shard) === jobs.fence) return;
      jobs.close();
      this.shardJobs.delete(shard);
    });
    owned.forEach((fence, shard) => {
      if (this.shardJobs.has(shard)) return;
      const jobs: ShardJobs = new ShardJobs({
        ...this.options,
        log: this.log,
        records: this.records,
        shard,
        fence,
        getFence: () => this.getValidFence(jobs),
        onCancelled: (job) => this.progress.stopJob(job),
        onOpened: () => this.openChunks.update(),
      });
      this.shardJobs.set(shard, jobs);
      void jobs.run();
    });
  }
}
