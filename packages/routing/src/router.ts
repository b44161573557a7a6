/** Routes requests to workers and learns from their outcome. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Directory, EntryVmIo, WorkerLoads } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import type { CacheEvent, Worker } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { createLoadAwareChooser, type Candidate, type Chooser } from './chooser.js';
import { FirstTokenWatch } from './first-token-watch.js';
import { PrefixIndex } from './prefix-index.js';
import { selectSubset } from './subset.js';
import { WorkerHealth } from './worker-health.js';

/** Time for which a worker that refused a model is not asked for it again. */
const MISSING_TARGET_RETRY_MS = 5000;

/** Time after which a request without any worker may be tried again. */
const NO_WORKER_RETRY_MS = 1000;

/** Twice the first-token objective of 490 ms. */
const DEFAULT_FIRST_TOKEN_TIMEOUT_MS = 980;

export interface RouterOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'createLog' | 'metrics'>;
  availabilityZone: string;
  directory: Directory;
  loads: WorkerLoads;
  /** Last total without corrections, for the baseline `leastReported`. */
  readReportedOnline?: (workerId: string) => number;
  chooser?: Chooser;
  /** Time without a first token after which a worker with free slots is taken to be unreachable. */
  silenceMs?: number;
}

export interface RouteRequest {
  requestId: string;
  service: string;
  /** Model and adapter of a generation; what a worker may not have loaded. */
  target: string;
  prefixes: readonly string[];
  /** Workers to be avoided, because an earlier attempt failed there. */
  avoided: ReadonlySet<string>;
}

/** Chooses workers; one per entry VM. */
export class Router {
  readonly prefixes = new PrefixIndex();

  private readonly health = new WorkerHealth();

  private readonly chooser: Chooser;

  private readonly log: Log;

  /** Worker and target to the time until which the worker is not asked for it. */
  private readonly missingTargets = new Map<string, number>();

  private readonly subscriptions: Subscription[] = [];

  /** Makes VMs choose different subsets of a large fleet. */
  private readonly subsetKey: string;

  constructor(private readonly options: RouterOptions) {
    this.chooser = options.chooser ?? createLoadAwareChooser();
    this.log = options.io.createLog('routing');
    this.subsetKey = options.io.random.createId();
  }

  start(): void {
    this.subscriptions.push(this.options.directory.onChange(() => this.removeUnlisted()));
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  /** Returns a worker that takes new work, or a fault with outcome `not-run`. */
  route(request: RouteRequest): Result<Worker, Fault> {
    const now = this.options.io.timer.now();
    const workers = this.options.directory.workersOf(request.service);
    const { availabilityZone } = this.options;
    const selected = this.selectWorkers(workers, request, now);
    const candidates = selectSubset(selected, availabilityZone, this.subsetKey).map((worker) =>
      this.createCandidate(worker, request, now),
    );
    const choice = this.chooser(candidates, {
      availabilityZone,
      random: this.options.io.random,
    });
    const chosen = workers.find((worker) => worker.id === choice?.workerId);
    this.log.write('route', {
      request: request.requestId,
      service: request.service,
      worker: chosen?.id,
      reason: choice?.reason ?? 'no-worker',
      candidates: candidates.length,
      compared: choice?.compared.map(({ workerId, score }) => `${workerId}:${score}`),
      avoided: [...request.avoided],
    });
    if (chosen !== undefined) return ok(chosen);
    return err({
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step: 'routing',
      message: `no worker of service ${request.service} takes this request`,
      retryAfterMs: NO_WORKER_RETRY_MS,
    });
  }

  /** Notes that an answer is complete. */
  recordSuccess(worker: Worker): void {
    this.health.recordSuccess(worker.service, worker.id, this.options.io.timer.now());
  }

  /** Notes the time until the answer of a plain service. */
  recordLatency(worker: Worker, latencyMs: number): void {
    const now = this.options.io.timer.now();
    if (this.health.recordLatency(worker.service, worker.id, latencyMs, now)) {
      this.logEjection(worker, 'latency');
    }
  }

  /** Watches a streamed request for its first token; call once the request counts as load. */
  watchFirstToken(worker: Worker): FirstTokenWatch {
    const { io, loads, silenceMs = DEFAULT_FIRST_TOKEN_TIMEOUT_MS } = this.options;
    return new FirstTokenWatch({
      timer: io.timer,
      silenceMs,
      readLoad: () => loads.get(worker.id),
      onLatency: (latencyMs) => this.recordLatency(worker, latencyMs),
      onTimeout: (sentAt) => this.recordFirstTokenTimeout(worker, sentAt),
    });
  }

  recordFault(worker: Worker): void {
    if (this.health.recordFault(worker.service, worker.id, this.options.io.timer.now())) {
      this.logEjection(worker, 'faults');
    }
  }

  /** Notes that the worker said it does not have the model or adapter. */
  recordMissingTarget(workerId: string, target: string): void {
    const until = this.options.io.timer.now() + MISSING_TARGET_RETRY_MS;
    this.missingTargets.set(`${workerId}|${target}`, until);
  }

  /** Notes a completed prompt; `cachedTokens` tells whether the prefix was in the cache before. */
  recordCompletion(workerId: string, prefixes: readonly string[], cachedTokens: number): void {
    if (cachedTokens === 0) this.prefixes.removeMissed(workerId, prefixes);
    this.prefixes.addCompletion(workerId, prefixes, this.options.io.timer.now());
  }

  applyCacheEvents(workerId: string, events: readonly CacheEvent[], afterSequence: number): void {
    this.prefixes.applyEvents(workerId, events, afterSequence);
  }

  /** Workers without the target or with a failed attempt are used only when no other is left. */
  private selectWorkers(workers: Worker[], request: RouteRequest, now: number): Worker[] {
    const withTarget = workers.filter(
      ({ id }) => (this.missingTargets.get(`${id}|${request.target}`) ?? 0) <= now,
    );
    const untried = withTarget.filter(({ id }) => !request.avoided.has(id));
    return untried.length > 0 ? untried : withTarget;
  }

  private createCandidate(worker: Worker, request: RouteRequest, now: number): Candidate {
    const load = this.options.loads.get(worker.id);
    return {
      workerId: worker.id,
      availabilityZone: worker.availabilityZone,
      load,
      reportedOnline: this.options.readReportedOnline?.(worker.id) ?? load.online,
      prefixMatch: this.prefixes.match(worker.id, request.prefixes, now),
      trafficShare: this.health.trafficShare(worker.id, now),
    };
  }

  private recordFirstTokenTimeout(worker: Worker, sentAt: number): void {
    const now = this.options.io.timer.now();
    if (this.health.recordFirstTokenTimeout(worker.service, worker.id, sentAt, now)) {
      this.logEjection(worker, 'silence');
    }
  }

  private logEjection(worker: Worker, reason: string): void {
    this.log.write('eject', { worker: worker.id, service: worker.service, reason });
    this.options.io.metrics.increment('routing.ejected', { service: worker.service });
  }

  private removeUnlisted(): void {
    const isListed = (id: string): boolean => this.options.directory.find(id) !== undefined;
    this.health.retain(isListed);
    this.prefixes.retain(isListed);
    const now = this.options.io.timer.now();
    for (const [key, until] of this.missingTargets)
      if (until <= now) this.missingTargets.delete(key);
  }
}
