/** Runs batch items on the workers whose shards this VM owns. */
import { createBatchRequestId, type CapacityPolicy } from '@jujubelanding/batch-capacity';
import type { JobOwner } from '@jujubelanding/batch-jobs';
import { FaultCode, type Fault } from '@jujubelanding/errors';
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
import { JobOwnerClient } from './job-owner-client.js';
import { ProgressReporter } from './progress-reporter.js';
import { ItemOutcome, Throughput } from './throughput.js';
import { cancelItem, type RunningItem, type WorkerSlots } from './worker-slots.js';
import { WorkerPool } from './worker-pool.js';

/** Limits change without any event: the slots that a policy reserves for online requests shrink over time. */
const TICK_MS = 50;
/** Delay before a worker that refused an item gets another one. */
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
  /** Job owner of this process. */
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
    const ownerClient = new JobOwnerClient(options);
    this.log = io.createLog('batch-execution');
    this.dispatcherId = `${entryVmId}.${bootId}`;
    this.pool = new WorkerPool({ ...options, dispatcherId: this.dispatcherId });
    this.chunks = new ChunkSet({
      ...options,
      ownerClient,
      executorId: entryVmId,
      log: this.log,
      onStop: (chunk, phase) => this.cancelChunk(chunk, phase),
    });
    const { chunks } = this;
    this.progress = new ProgressReporter({ io, ownerClient, executorId: entryVmId, chunks });
    this.poller = new ChunkPoller({
      io,
      ownerClient,
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

  /** Cancels all streams. Job owners grant the chunks to other executors. */
  stop(): void {
    this.isRunning = false;
    this.chunks.list().forEach((chunk) => this.chunks.stop(chunk, 'shutdown'));
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  /** Returns the number of batch items in progress on a worker. */
  countRunning(workerId: string): number {
    return this.pool.find(workerId)?.running.size ?? 0;
  }

  private tick(): void {
    if (!this.isRunning) return;
    this.pool.refresh();
    this.pool.list().forEach((slots) => this.cancelInvalid(slots));
    this.chunks.list().forEach((chunk) => this.stopWithoutWorkers(chunk));
    this.fillSlots();
    this.poller.poll();
  }

  private handleOnlineChange(workerId: string): void {
    const slots = this.pool.find(workerId);
    if (slots === undefined || !this.isRunning) return;
    this.pool.updateLimit(slots);
    this.preempt(slots);
    this.fillSlots();
  }

  /** Cancels the streams that must not continue on a worker. */
  private cancelInvalid(slots: WorkerSlots): void {
    const { directory, io } = this.options;
    const worker = directory.find(slots.workerId);
    const now = io.timer.now();
    if (this.pool.getFence(slots.workerId) === undefined) {
      slots.running.forEach((running) => cancelItem(running, CancelCause.WorkerLost));
      return;
    }
    if (worker !== undefined) {
      const timeout = this.pool.getStallTimeout(worker, DEFAULT_STALL_TIMEOUT_MS);
      slots.running.forEach((running) => cancelIfStalled(running, timeout, now));
    }
    this.preempt(slots);
  }

  private preempt(slots: WorkerSlots): void {
    const { workerId, limit } = slots;
    slots.listOverLimit().forEach((running) => {
      const { state, requestId } = running;
      const tokens = state.tokens.length;
      this.log.write('item-preempted', { worker: workerId, request: requestId, tokens, limit });
      this.options.io.metrics.increment('batch.preemptions');
      cancelItem(running, CancelCause.Preempted);
    });
  }

  /** Starts items in all free slots, one slot per worker in each round. */
  private fillSlots(): void {
    if (!this.isRunning) return;
    const chunks = this.chunks.list().filter(({ pending }) => pending.length > 0);
    if (chunks.length === 0) return;
    const workersFor = this.createWorkerLookup();
    let idle = this.pool.list().filter((slots) => slots.free > 0);
    while (idle.length > 0) {
      idle = idle.filter((slots) => this.startNext(slots, chunks, workersFor) && slots.free > 0);
    }
  }

  /** Creates a lookup of the workers that can run a chunk, cached per chunk. */
  private createWorkerLookup(): (chunk: ActiveChunk) => readonly string[] {
    const cache = new Map<ActiveChunk, string[]>();
    return (chunk) => {
      const { model, adapter } = chunk.grant;
      if (!cache.has(chunk)) cache.set(chunk, this.pool.listWorkersFor(model, adapter));
      return cache.get(chunk)!;
    };
  }

  private startNext(
    slots: WorkerSlots,
    chunks: readonly ActiveChunk[],
    workersFor: (chunk: ActiveChunk) => readonly string[],
  ): boolean {
    const now = this.options.io.timer.now();
    const worker = this.pool.findDispatchable(slots);
    if (worker === undefined) return false;
    const choice = chooseItem(chunks, slots.workerId, workersFor, now);
    const fence = this.pool.getFence(slots.workerId);
    if (choice === undefined || fence === undefined) return false;
    void this.run(slots, worker, choice, fence);
    return true;
  }

  private async run(
    slots: WorkerSlots,
    worker: Worker,
    { chunk, state }: ItemChoice,
    fence: number,
  ): Promise<void> {
    const { workerId } = slots;
    const now = this.options.io.timer.now();
    const { jobId, grantId } = chunk.grant;
    const { index } = state.item;
    const requestId = createBatchRequestId(this.dispatcherId, grantId, index);
    const abort = new AbortController();
    const running = { requestId, chunk, state, workerId, startedAt: now, lastTokenAt: now, abort };
    chunk.removePending(state);
    state.lastWorker = workerId;
    slots.running.add(running);
    this.reportRunningCount(slots);
    const resumed = state.tokens.length;
    this.log.write('item-placed', { job: jobId, item: index, worker: workerId, resumed, fence });
    const end = await this.runItem(worker, running, fence);
    this.throughput.countTokens(state.tokens.length - resumed);
    slots.running.delete(running);
    this.reportRunningCount(slots);
    this.handleEnd(slots, running, end);
    this.fillSlots();
  }

  private handleEnd(slots: WorkerSlots, running: RunningItem, end: Result<unknown, Fault>): void {
    const { chunk, state } = running;
    if (chunk.phase !== ChunkPhase.Running) return;
    if (end.isOk()) {
      chunk.recordSuccess(state);
      this.throughput.countItems(ItemOutcome.Succeeded);
    } else {
      this.handleFault(slots, running, end.error);
    }
    if (chunk.isDone) {
      void this.chunks.finish(chunk);
      this.poller.poll();
    }
  }

  private handleFault(slots: WorkerSlots, running: RunningItem, fault: Fault): void {
    const { chunk, state, workerId, cause } = running;
    const decision = decideAttempt(fault, cause, state.attempts, chunk.maxAttempts);
    if (cause === undefined) {
      const { code, outcome, message } = fault;
      const item = state.item.index;
      this.log.write('item-fault', { worker: workerId, item, code, outcome, decision, message });
      if (decision === AttemptDecision.Repeat) this.handleRefusal(slots, running, fault);
    }
    if (decision !== AttemptDecision.Repeat) {
      state.attempts += 1;
      state.failedOn.add(workerId);
    }
    if (decision === AttemptDecision.Fail) {
      chunk.recordFailure(state, formatReason(fault));
      this.throughput.countItems(ItemOutcome.Failed);
    } else {
      chunk.requeue(state);
    }
  }

  /** Pauses the worker, unless another one has refused the item as well: then the item waits instead. */
  private handleRefusal(
    slots: WorkerSlots,
    { state, workerId }: RunningItem,
    { code }: Fault,
  ): void {
    const now = this.options.io.timer.now();
    const isItemAtFault = code === FaultCode.Overloaded && state.refusals.record(workerId);
    state.notBefore = now + state.refusals.delayMs;
    if (!isItemAtFault) slots.pausedUntil = now + REFUSAL_PAUSE_MS;
  }

  private reportRunningCount(slots: WorkerSlots): void {
    this.options.workers.setBatchCount(slots.workerId, slots.running.size);
  }

  private cancelChunk(chunk: ActiveChunk, phase: ChunkPhase): void {
    // The result of a finishing chunk may be committed already, if only the reply was delayed.
    const discarded = phase === ChunkPhase.Running ? chunk.finishedCount : 0;
    this.throughput.countItems(ItemOutcome.Discarded, discarded);
    this.pool.list().forEach((slots) => {
      slots.running.forEach((running) => {
        if (running.chunk === chunk) cancelItem(running, CancelCause.ChunkStopped);
      });
    });
  }

  /** Stops a chunk that no owned worker can run any more; its owner grants it again. */
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
