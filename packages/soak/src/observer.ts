/** Observes the requests to backend servers independently of the system under test. */
import type { Fleet, FleetNode } from '@jujubelanding/simulation';
import type { ModelEngine, PlainService, StreamSink } from '@jujubelanding/stand-ins';
import type { Generation, ServiceRequest } from '@jujubelanding/types';
import type { LeaseCheck } from './lease-check.js';
import { ReachabilityTracker } from './reachability-tracker.js';
import { Invariant, type Violations } from './violation.js';

/** Time after which a leaving worker or a cancelled job gets no new dispatch. */
export const MAX_STOP_DELAY_MS = 2000;

const ITEM_TAG = /\[job=([^\s\]]+) item=(\d+)\]/;

/** Returns the job tag of a batch item's prompt; undefined for an online request. */
const readJobTag = ({ messages }: Generation): string | undefined =>
  ITEM_TAG.exec(messages.at(-1)?.content ?? '')?.[1];

const ORDER_TAG = /\[order=([^\s\]]+)\]/;

/** Returns the tag by which the observer recognizes the prompt of a batch item. */
export const tagItem = (job: string, item: number): string => `[job=${job} item=${item}]`;

export const tagOrder = (order: string): string => `[order=${order}]`;

/** Removes the suffix `.N`, which the request ids of later attempts have. */
const removeAttemptSuffix = (requestId: string): string => requestId.split('.')[0]!;

export class Observer {
  /** Number of executions by request id, over all attempts. */
  readonly executions = new Map<string, number>();

  /** Number of executions by order tag. */
  private readonly executionsByOrder = new Map<string, number>();

  /** Time since which the VM list has shown a worker as leaving. */
  readonly leavingSinceByWorker = new Map<string, number>();

  /** Time at which the cancel of a job was acknowledged, by job tag. */
  readonly cancelledAtByJob = new Map<string, number>();

  /** An entry VM that can't reach the VM list can't know which workers are leaving. */
  private readonly vmListReachability: ReachabilityTracker;

  private readonly runningBatchStreams = new Map<string, number>();

  private readonly highestFenceByWorker = new Map<string, number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly violations: Violations,
    private readonly leaseCheck: LeaseCheck,
  ) {
    this.vmListReachability = new ReachabilityTracker(fleet, ({ vmList }) => [
      fleet.vmList.faults,
      vmList.faults,
    ]);
  }

  start(): void {
    this.vmListReachability.start();
  }

  /**
   * Checks requests when an entry VM sends them, because a paused worker may receive a request late
   * that was sent in time.
   */
  watchNode(node: FleetNode): void {
    const { backendServers } = node;
    const generate = backendServers.generate.bind(backendServers);
    backendServers.generate = (worker, generation, onToken, signal) => {
      this.checkDispatch(node, worker.id, generation.requestId);
      const job = readJobTag(generation);
      if (job !== undefined) {
        this.checkCancelledJob(job);
        this.leaseCheck.checkBatchDispatch(node, worker.id);
      }
      return generate(worker, generation, onToken, signal);
    };
    const call = backendServers.call.bind(backendServers);
    backendServers.call = (worker, request, signal) => {
      this.checkDispatch(node, worker.id, request.requestId);
      return call(worker, request, signal);
    };
  }

  watchEngine(engine: ModelEngine): void {
    const start = engine.start.bind(engine);
    const { workerId } = engine;
    engine.start = (generation, sink) => {
      if (readJobTag(generation) === undefined) {
        return this.startOnlineRequest(generation, () => start(generation, sink));
      }
      const watchedSink = this.watchSink(workerId, sink);
      const started = start(generation, watchedSink);
      if (started.isErr()) return started;
      this.checkBatchStart(engine, generation);
      return started;
    };
  }

  watchPlainService(workerId: string, service: PlainService): void {
    const run = service.run.bind(service);
    service.run = (request: ServiceRequest) => {
      const previousCount = service.executions.get(request.requestId) ?? 0;
      const reply = run(request);
      // A request that is refused as not run leaves the count unchanged.
      const hasRun = (service.executions.get(request.requestId) ?? 0) > previousCount;
      if (hasRun) this.countServiceExecution(request);
      return reply;
    };
  }

  private startOnlineRequest<T extends { isOk(): boolean }>(
    generation: Generation,
    start: () => T,
  ): T {
    const started = start();
    if (started.isOk()) this.count(this.executions, removeAttemptSuffix(generation.requestId));
    return started;
  }

  private countServiceExecution(request: ServiceRequest): void {
    this.count(this.executions, removeAttemptSuffix(request.requestId));
    const order = ORDER_TAG.exec(Buffer.from(request.body).toString('utf8'));
    if (order === null) return;
    this.count(this.executionsByOrder, order[1]!);
    const runs = this.executionsByOrder.get(order[1]!)!;
    if (runs > 1) this.violations.report(Invariant.AtMostOnce, order[1]!, `ran ${runs} times`);
  }

  private count(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }

  private checkDispatch(node: FleetNode, workerId: string, requestId: string): void {
    const since = this.leavingSinceByWorker.get(workerId) ?? Infinity;
    const delayMs = Math.min(
      this.fleet.timer.now() - since,
      this.vmListReachability.getReachableMs(node),
    );
    if (delayMs > MAX_STOP_DELAY_MS) {
      const detail = `request ${requestId} was dispatched ${delayMs} ms after the entry VM could know that the worker is leaving`;
      this.violations.report(Invariant.LeavingWorker, workerId, detail);
    }
  }

  private checkCancelledJob(job: string): void {
    const delayMs = this.fleet.timer.now() - (this.cancelledAtByJob.get(job) ?? Infinity);
    if (delayMs > MAX_STOP_DELAY_MS) {
      this.violations.report(
        Invariant.CancelledJob,
        job,
        `a batch item was dispatched ${delayMs} ms after the cancel was acknowledged`,
      );
    }
  }

  private checkBatchStart(engine: ModelEngine, generation: Generation): void {
    const { workerId } = engine;
    const running = (this.runningBatchStreams.get(workerId) ?? 0) + 1;
    this.runningBatchStreams.set(workerId, running);
    if (running > engine.settings.slots) {
      const detail = `${running} batch streams run on ${engine.settings.slots} slots`;
      this.violations.report(Invariant.BatchLimit, workerId, detail);
    }
    const highest = this.highestFenceByWorker.get(workerId) ?? 0;
    const fence = generation.fence ?? 0;
    if (fence < highest) {
      this.violations.report(
        Invariant.Fencing,
        workerId,
        `a batch item was dispatched with fencing number ${fence} after ${highest}`,
      );
    }
    this.highestFenceByWorker.set(workerId, Math.max(fence, highest));
  }

  private watchSink(workerId: string, sink: StreamSink): StreamSink {
    let isRunning = true;
    const end = (): void => {
      if (!isRunning) return;
      isRunning = false;
      this.runningBatchStreams.set(workerId, (this.runningBatchStreams.get(workerId) ?? 1) - 1);
    };
    return {
      onToken: (token) => sink.onToken(token),
      onEnd: (event) => {
        end();
        sink.onEnd(event);
      },
      onFault: (fault) => {
        end();
        sink.onFault(fault);
      },
    };
  }
}
