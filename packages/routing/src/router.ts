/** Routes requests to workers and updates worker state from the outcomes. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Directory, EntryVmIo, WorkerLoads } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { rankNodes } from '@jujubelanding/random';
import type { Subscription } from '@jujubelanding/timer';
import type { CacheEvent, Worker } from '@jujubelanding/types';
import type { WorkerSpeeds } from '@jujubelanding/worker-speed';
import { err, ok, type Result } from 'neverthrow';
import {
  createLoadAwareChooser,
  type Candidate,
  type Chooser,
  type WorkerScore,
} from './chooser.js';
import { FirstTokenWatch } from './first-token-watch.js';
import { PrefixIndex } from './prefix-index.js';
import { createResultHealth, type RouterResults } from './health-reporting.js';
import type { ResultHealth } from './result-health.js';
import { selectSubset } from './subset.js';
import { WorkerHealth } from './worker-health.js';

/** Time before a model is requested again from a worker that did not have it. */
const MISSING_TARGET_RETRY_DELAY_MS = 5000;

/** Retry delay returned when no worker is available. */
const NO_WORKER_RETRY_AFTER_MS = 1000;

/** Twice the first-token objective of 490 ms. */
const DEFAULT_FIRST_TOKEN_TIMEOUT_MS = 980;

const FIRST_SERVER_ERROR = 500;

/** Interval at which the results of workers are compared. */
const HEALTH_INTERVAL_MS = 100;

export interface RouterOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'createLog' | 'metrics'>;
  availabilityZone: string;
  directory: Directory;
  loads: WorkerLoads;
  /** Reads the last total, uncorrected; used by the baseline `leastReported`. */
  readReportedOnline?: (workerId: string) => number;
  chooser?: Chooser;
  /** Absent if the workers report no speed. */
  speeds?: Pick<WorkerSpeeds, 'read'>;
  /** Time to first token after which a worker with free slots is considered unreachable. */
  silenceMs?: number;
  /** If given, health depends on the results of all VMs, and not on faults and latency at this VM. */
  results?: RouterResults | undefined;
}

export interface RouteRequest {
  requestId: string;
  service: string;
  /** Model and adapter of a generation, which a worker may not have loaded; otherwise empty. */
  target: string;
  prefixes: readonly string[];
  /** Workers on which an earlier attempt failed. */
  avoided: ReadonlySet<string>;
  /**
   * Requests with the same key go to the same worker, if it has a free slot. Set for a request under which
   * workers crashed, so that copies of it in progress at the same time crash one worker and not several.
   */
  gatherKey?: string | undefined;
  /**
   * True if no other attempt can follow when this one fails, as the request may run only once or this is
   * its last attempt. With `results`, such requests avoid workers that have to prove themselves.
   */
  isFinalAttempt?: boolean;
}

/** Formats a score with its inputs: the slowdown and the age of the worker's report. */
const formatScore = ({ workerId, score, speed }: WorkerScore): string => {
  if (speed === undefined) return `${workerId}:${score}`;
  const { slowdown, reportAgeMs } = speed;
  const age = reportAgeMs === undefined ? 'none' : Math.round(reportAgeMs);
  return `${workerId}:${score}:${slowdown.toFixed(2)}@${age}`;
};

/** Selects workers; one instance per entry VM. */
export class Router {
  readonly prefixes = new PrefixIndex();

  private readonly health: WorkerHealth;

  private readonly resultHealth: ResultHealth | undefined;

  private readonly chooser: Chooser;

  private readonly log: Log;

  /** Time until which a target is not requested from a worker, by worker and target. */
  private readonly missingUntil = new Map<string, number>();

  private readonly subscriptions: Subscription[] = [];

  /** Random key that makes entry VMs use different subsets of a large fleet. */
  private readonly subsetKey: string;

  constructor(private readonly options: RouterOptions) {
    this.chooser = options.chooser ?? createLoadAwareChooser();
    this.log = options.io.createLog('routing');
    this.resultHealth = createResultHealth({ ...options, log: this.log });
    this.health = new WorkerHealth(this.resultHealth);
    this.subsetKey = options.io.random.createId();
  }

  start(): void {
    const { directory, io } = this.options;
    this.subscriptions.push(directory.onChange(() => this.removeUnlisted()));
    const { resultHealth } = this;
    if (resultHealth === undefined) return;
    const update = (): void => resultHealth.update(io.timer.now());
    this.subscriptions.push(io.timer.every(HEALTH_INTERVAL_MS, update));
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  /** True if any worker of the service may get new work. */
  hasWorkers(service: string): boolean {
    return this.options.directory.workersOf(service).length > 0;
  }

  /** Returns a worker that accepts new work, or a fault with outcome `not-run`. */
  route(request: RouteRequest): Result<Worker, Fault> {
    const now = this.options.io.timer.now();
    const workers = this.options.directory.workersOf(request.service);
    const { availabilityZone } = this.options;
    const selected = this.selectWorkers(workers, request, now);
    const candidates = this.avoidUnproven(this.listCandidates(selected, request, now), request);
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
      compared: choice?.compared.map(formatScore),
      avoided: [...request.avoided],
    });
    if (chosen !== undefined) return ok(chosen);
    return err({
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step: 'routing',
      message: `no worker of service ${request.service} accepts this request`,
      retryAfterMs: NO_WORKER_RETRY_AFTER_MS,
    });
  }

  /** Records a complete answer of the worker; with a status 5xx it counts as a failure in `results`. */
  recordSuccess(worker: Worker, status = 200): void {
    const now = this.options.io.timer.now();
    this.health.recordSuccess(worker.service, worker.id, now, status >= FIRST_SERVER_ERROR);
  }

  /** Records the response time of a plain service, or the time to first token. */
  recordLatency(worker: Worker, latencyMs: number): void {
    const now = this.options.io.timer.now();
    if (this.health.recordLatency(worker.service, worker.id, latencyMs, now)) {
      this.logEjection(worker, 'latency');
    }
  }

  /**
   * Starts the first-token watch of a streamed request; call it once the request counts as load.
   */
  watchFirstToken(worker: Worker): FirstTokenWatch {
    const { io, loads, silenceMs = DEFAULT_FIRST_TOKEN_TIMEOUT_MS } = this.options;
    let timedOutAt = 0;
    return new FirstTokenWatch({
      timer: io.timer,
      silenceMs,
      readLoad: () => loads.get(worker.id),
      onLatency: (latencyMs) => this.recordLatency(worker, latencyMs),
      onTimeout: (sentAt) => {
        timedOutAt = io.timer.now();
        this.recordFirstTokenTimeout(worker, sentAt);
      },
      onTimeoutWithdrawn: () =>
        this.health.withdrawFirstTokenTimeout(worker.service, worker.id, timedOutAt),
    });
  }

  /** Records a fault of the worker, such as a failed or broken answer. */
  recordFault(worker: Worker): void {
    if (this.health.recordFault(worker.service, worker.id, this.options.io.timer.now())) {
      this.logEjection(worker, 'faults');
    }
  }

  /**
   * Records that a request got nothing of an answer in its time. Only the comparison of results counts it,
   * as the requests of a service that is overloaded time out on all workers alike.
   */
  recordTimeout(worker: Worker): void {
    if (this.resultHealth !== undefined) this.recordFault(worker);
  }

  /** Returns the worker's share of traffic, from 0 while ejected to 1. */
  readWeight(workerId: string): number {
    return this.health.trafficShare(workerId, this.options.io.timer.now());
  }

  /** Lists the workers that are ejected for their results, or have to prove themselves. */
  listOnProbation(): string[] {
    return this.resultHealth?.listOnProbation() ?? [];
  }

  /** Records that the worker does not have the model or adapter. */
  recordMissingTarget(workerId: string, target: string): void {
    const until = this.options.io.timer.now() + MISSING_TARGET_RETRY_DELAY_MS;
    this.missingUntil.set(`${workerId}|${target}`, until);
  }

  /** Records a completed prompt; `cachedTokens` is 0 if none of its prefixes was cached. */
  recordCompletion(workerId: string, prefixes: readonly string[], cachedTokens: number): void {
    if (cachedTokens === 0) this.prefixes.removeMissed(workerId, prefixes);
    this.prefixes.addCompletion(workerId, prefixes, this.options.io.timer.now());
  }

  applyCacheEvents(workerId: string, events: readonly CacheEvent[], afterSequence: number): void {
    this.prefixes.applyEvents(workerId, events, afterSequence);
  }

  /**
   * Excludes workers without the target, and those with a failed attempt unless no other is left.
   */
  private selectWorkers(workers: Worker[], request: RouteRequest, now: number): Worker[] {
    const withTarget = workers.filter(
      ({ id }) => (this.missingUntil.get(`${id}|${request.target}`) ?? 0) <= now,
    );
    const untried = withTarget.filter(({ id }) => !request.avoided.has(id));
    return untried.length > 0 ? untried : withTarget;
  }

  private listCandidates(workers: Worker[], request: RouteRequest, now: number): Candidate[] {
    const { gatherKey } = request;
    const toCandidate = (worker: Worker) => this.createCandidate(worker, request, now);
    const subset = selectSubset(workers, this.options.availabilityZone, this.subsetKey);
    if (gatherKey === undefined) return subset.map(toCandidate);
    const free = workers
      .map(toCandidate)
      .filter(({ load, trafficShare }) => trafficShare > 0 && load.online < load.slots);
    const [first] = rankNodes(
      gatherKey,
      free.map(({ workerId }) => workerId),
    );
    const gathered = free.filter(({ workerId }) => workerId === first);
    return gathered.length > 0 ? gathered : subset.map(toCandidate);
  }

  /**
   * For a final attempt, excludes workers with a reduced weight if others have room, and workers on
   * probation if there is any other.
   */
  private avoidUnproven(candidates: Candidate[], { isFinalAttempt }: RouteRequest): Candidate[] {
    const { resultHealth } = this;
    if (resultHealth === undefined || isFinalAttempt !== true) return candidates;
    const proven = candidates.filter(({ workerId }) => resultHealth.isProven(workerId));
    if (proven.some(({ load }) => load.online < load.slots)) return proven;
    const serving = candidates.filter(({ workerId }) => !resultHealth.isOnProbation(workerId));
    return serving.length > 0 ? serving : candidates;
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
      speed: this.options.speeds?.read(worker.service, worker.id, now),
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
    for (const [key, until] of this.missingUntil) if (until <= now) this.missingUntil.delete(key);
  }
}
