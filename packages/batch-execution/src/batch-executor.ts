/** Runs batch items on the workers whose shards this VM owns. */
import { createBatchRequestId, type CapacityPolicy } from '@jujubelanding/batch-capacity';
import type { JobOwner } from '@jujubelanding/batch-jobs';
import type { Fault } from '@jujubelanding/errors';
import type {
  Configuration,
  Directory,
  EntryVmIo,
  Membership,
  OwnedWorkerLoads,
  SegmentStore,
  ShardTable,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import type { Worker } from '@jujubelanding/types';
import type { Result } from 'neverthrow';
import { AttemptDecision, CancelCause, decideAttempt } from './attempt-decision.js';
import { ChunkPoller } from './chunk-poller.js';
import { ChunkSet, MAX_CHUNKS } from './chunk-set.js';
import { ChunkPhase, type ActiveChunk } from './active-chunk.js';
import { computeDemand, type Demand } from './demand.js';
import { chooseItem, type ItemChoice } from './item-choice.js';
import { cancelIfStalled, createItemRunner, formatReason, type RunItem } from './item-runner.js';
import { JobOwnerClient } from './owner-calls.js';
import { ProgressReporter } from './progress-reporter.js';
import { ItemOutcome, Throughput } from './throughput.js';
import { cancelItem, type RunningItem, type WorkerSlots } from './worker-slots.js';
import { WorkerPool } from './worker-pool.js';

/** The reserve of a worker shrinks while time passes, without any event. */
const TICK_MS = 50;
/** A worker that refused an item is not asked again at once. */
const REFUSAL_PAUSE_MS = 250;
const DEFAULT_STALL_TIMEOUT_MS = 30_000;

export interface BatchExecutorOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network' | 'backendServers' | 'createLog' | 'metrics'>;
  configuration: Configuration;
  shards: ShardTable;
  membership: Membership;
  directory: Directory;
  workers: OwnedWorkerLoads;
  segments: SegmentStore;
  policy: CapacityPolicy;
  /** Job owner in the same process. */
  owner: Pick<JobOwner, 'requestChunk' | 'reportProgress' | 'completeChunk'>;
}

export class BatchExecutor {
  private readonly log: Log;

  private readonly pool: WorkerPool;

  private readonly chunks: ChunkSet;

  private readonly progress: ProgressReporter;

  private readonly poller: ChunkPoller;

  private readonly throughput: Throughput;

  private readonly runItem: RunItem;

  private readonly dispatcherId: string;

  private subscriptions: Subscription[] = [];

  private isRunning = false;

  constructor(private readonly options: BatchExecutorOptions) {
    const { io, membership } = options;
    const { entryVmId, bootId } = membership.self();
    const calls = new JobOwnerClient(options);
    this.log = io.createLog('batch-execution');
    this.dispatcherId = `${entryVmId}.${bootId}`;
    this.pool = new WorkerPool({ ...options, dispatcherId: this.dispatcherId });
    this.chunks = new ChunkSet({
      ...options,
      ownerClient: calls,
      executorId: entryVmId,
      log: this.log,
      onStop: (chunk, phase) => this.cancelChunk(chunk, phase),
    });
    const { chunks } = this;
    this.progress = new ProgressReporter({ io, ownerClient: calls, executorId: entryVmId, chunks });
    this.poller = new ChunkPoller({
      io,
      ownerClient: calls,
      executorId: entryVmId,
      getDemand: () => this.measureDemand(),
      onGrants: (grants, requestedAt) => {
        grants.forEach((grant) => {
          void this.chunks.add(grant, requestedAt).then(() => this.fillSlots());
        });
      },
    });
    this.throughput = new Throughput(io);
    this.runItem = createItemRunner(io);
  }

  start(): void {
    const { io, workers, shards, directory } = this.options;
    this.isRunning = true;
    this.subscriptions = [
      workers.onOnlineChange((workerId) => this.handleOnlineChange(workerId)),
      shards.onChange(() => this.tick()),
      directory.onChange(() => this.tick()),
      io.timer.every(TICK_MS, () => this.tick()),
      this.progress.start(),
      this.throughput.start(),
    ];
  }

  /** Cancels all streams; the chunks are granted to other executors. */
  stop(): void {
    this.isRunning = false;
    this.chunks.list().forEach((chunk) => this.chunks.stop(chunk, 'shutdown'));
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  /** Batch items in progress on a worker. */
  countRunning(workerId: string): number {
    return this.pool.find(workerId)?.running.size ?? 0;
  }

  private tick(): void {
    if (!this.isRunning) return;
    this.pool.refresh();
    this.pool.list().forEach((lane) => this.cancelInvalid(lane));
    this.chunks.list().forEach((chunk) => this.stopWithoutWorkers(chunk));
    this.fillSlots();
    this.poller.poll();
  }

  private handleOnlineChange(workerId: string): void {
    const lane = this.pool.find(workerId);
    if (lane === undefined || !this.isRunning) return;
    this.pool.updateLimit(lane);
    this.preempt(lane);
    this.fillSlots();
  }

  /** Cancels what must not continue on a worker. */
  private cancelInvalid(lane: WorkerSlots): void {
    const { directory, io } = this.options;
    const worker = directory.find(lane.workerId);
    const now = io.timer.now();
    if (this.pool.getFence(lane.workerId) === undefined) {
      lane.running.forEach((running) => cancelItem(running, CancelCause.WorkerLost));
      return;
    }
    if (worker !== undefined) {
      const timeout = this.pool.getStallTimeout(worker, DEFAULT_STALL_TIMEOUT_MS);
      lane.running.forEach((running) => cancelIfStalled(running, timeout, now));
    }
    this.preempt(lane);
  }

  private preempt(lane: WorkerSlots): void {
    const { workerId, limit } = lane;
    lane.listOverLimit().forEach((running) => {
      const { work, requestId } = running;
      const tokens = work.tokens.length;
      this.log.write('item-preempted', { worker: workerId, request: requestId, tokens, limit });
      this.options.io.metrics.increment('batch.preemptions');
      cancelItem(running, CancelCause.Preempted);
    });
  }

  /** Starts items on all free slots, one slot per worker in turn. */
  private fillSlots(): void {
    if (!this.isRunning) return;
    const chunks = this.chunks.list().filter(({ pending }) => pending.length > 0);
    if (chunks.length === 0) return;
    const workersFor = this.createWorkerLookup();
    let lanes = this.pool.list().filter((lane) => lane.free > 0);
    while (lanes.length > 0) {
      lanes = lanes.filter((lane) => this.startNext(lane, chunks, workersFor) && lane.free > 0);
    }
  }

  /** Looks up the workers of each chunk once. */
  private createWorkerLookup(): (chunk: ActiveChunk) => readonly string[] {
    const known = new Map<ActiveChunk, string[]>();
    return (chunk) => {
      const { model, adapter } = chunk.grant;
      if (!known.has(chunk)) known.set(chunk, this.pool.listWorkersFor(model, adapter));
      return known.get(chunk)!;
    };
  }

  private startNext(
    lane: WorkerSlots,
    chunks: readonly ActiveChunk[],
    workersFor: (chunk: ActiveChunk) => readonly string[],
  ): boolean {
    const now = this.options.io.timer.now();
    const worker = this.pool.findDispatchable(lane);
    if (worker === undefined) return false;
    const choice = chooseItem(chunks, lane.workerId, workersFor, now);
    const fence = this.pool.getFence(lane.workerId);
    if (choice === undefined || fence === undefined) return false;
    void this.run(lane, worker, choice, fence);
    return true;
  }

  private async run(
    lane: WorkerSlots,
    worker: Worker,
    { chunk, work }: ItemChoice,
    fence: number,
  ): Promise<void> {
    const { workerId } = lane;
    const now = this.options.io.timer.now();
    const { jobId, grantId } = chunk.grant;
    const { index } = work.item;
    const requestId = createBatchRequestId(this.dispatcherId, grantId, index);
    const abort = new AbortController();
    const running = { requestId, chunk, work, workerId, startedAt: now, lastTokenAt: now, abort };
    chunk.removePending(work);
    work.lastWorker = workerId;
    lane.running.add(running);
    this.reportRunningCount(lane);
    const resumed = work.tokens.length;
    this.log.write('item-placed', { job: jobId, item: index, worker: workerId, resumed, fence });
    const end = await this.runItem(worker, running, fence);
    this.throughput.countTokens(work.tokens.length - resumed);
    lane.running.delete(running);
    this.reportRunningCount(lane);
    this.handleAttemptEnd(lane, running, end);
    this.fillSlots();
  }

  private handleAttemptEnd(
    lane: WorkerSlots,
    running: RunningItem,
    end: Result<unknown, Fault>,
  ): void {
    const { chunk, work } = running;
    if (chunk.phase !== ChunkPhase.Running) return;
    if (end.isOk()) {
      chunk.recordSuccess(work);
      this.throughput.countItems(ItemOutcome.Succeeded);
    } else {
      this.handleAttemptFault(lane, running, end.error);
    }
    if (chunk.isDone) {
      void this.chunks.finish(chunk);
      this.poller.poll();
    }
  }

  private handleAttemptFault(lane: WorkerSlots, running: RunningItem, fault: Fault): void {
    const { chunk, work, workerId, cause } = running;
    const decision = decideAttempt(fault, cause, work.attempts, chunk.maxAttempts);
    if (cause === undefined) {
      const { code, outcome, message } = fault;
      const item = work.item.index;
      this.log.write('item-fault', { worker: workerId, item, code, outcome, decision, message });
      if (decision === AttemptDecision.Repeat) {
        lane.pausedUntil = this.options.io.timer.now() + REFUSAL_PAUSE_MS;
      }
    }
    if (decision !== AttemptDecision.Repeat) {
      work.attempts += 1;
      work.failedOn.add(workerId);
    }
    if (decision === AttemptDecision.Fail) {
      chunk.recordFailure(work, formatReason(fault));
      this.throughput.countItems(ItemOutcome.Failed);
    } else {
      chunk.requeue(work);
    }
  }

  private reportRunningCount(lane: WorkerSlots): void {
    this.options.workers.setBatchCount(lane.workerId, lane.running.size);
  }

  private cancelChunk(chunk: ActiveChunk, phase: ChunkPhase): void {
    // A finishing chunk is also stopped when its result was committed before the answer arrived.
    const discarded = phase === ChunkPhase.Running ? chunk.finishedCount : 0;
    this.throughput.countItems(ItemOutcome.Discarded, discarded);
    this.pool.list().forEach((lane) => {
      lane.running.forEach((running) => {
        if (running.chunk === chunk) cancelItem(running, CancelCause.ChunkStopped);
      });
    });
  }

  /** Gives a chunk back when no owned worker can run it any more. */
  private stopWithoutWorkers(chunk: ActiveChunk): void {
    const { model, adapter } = chunk.grant;
    if (chunk.phase !== ChunkPhase.Running) return;
    if (this.pool.listWorkersFor(model, adapter).length === 0) this.chunks.stop(chunk, 'no worker');
  }

  private measureDemand(): Demand {
    if (!this.isRunning || this.chunks.size >= MAX_CHUNKS) return { models: [], slots: 0 };
    return computeDemand(this.pool.measureCapacity(), this.chunks.countPendingByTarget());
  }
}
