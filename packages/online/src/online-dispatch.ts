/** Dispatches online requests: routing, validation of the answer, retries and resumption. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type {
  Configuration,
  EntryVmIo,
  OnlineServiceRequest,
  OnlineDispatcher,
  OnlineGenerationRequest,
  Quarantine,
  WorkerLoads,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { computePrefixHashes } from '@jujubelanding/platform';
import { RetryBudget, type Router } from '@jujubelanding/routing';
import {
  Idempotency,
  RecordKind,
  type ServiceResponse,
  type StreamEnd,
  type Token,
  type Worker,
} from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { Attempt } from './attempt.js';
import { AttemptLoop } from './attempt-loop.js';
import { CrashWatch } from './crash-watch.js';
import { ServiceAttempt } from './service-attempt.js';
import { InterTokenLatency } from './inter-token-latency.js';
import { computeCallKey, computeGenerationKey } from './request-key.js';

export interface OnlineDispatchOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'backendServers' | 'createLog' | 'metrics'>;
  configuration: Configuration;
  router: Router;
  loads: WorkerLoads;
  quarantine: Quarantine;
}

/** Input of one attempt of a generation. */
interface GenerationAttempt {
  request: OnlineGenerationRequest;
  worker: Worker;
  /** Counted from 1. */
  attemptNumber: number;
  /** Token texts that the caller has received. */
  delivered: string[];
  prefixes: readonly string[];
  crashWatch: CrashWatch;
  onToken: (token: Token) => void;
}

/** Implements `OnlineDispatcher`. */
export class OnlineDispatchController implements OnlineDispatcher {
  private readonly budget = new RetryBudget();

  private readonly log: Log;

  private running = 0;

  private isStopped = false;

  private readonly drainWaiters: (() => void)[] = [];

  constructor(private readonly options: OnlineDispatchOptions) {
    this.log = options.io.createLog('online');
  }

  start(): void {
    this.isStopped = false;
  }

  /** Rejects further requests; requests in progress continue. */
  stop(): void {
    this.isStopped = true;
  }

  inFlight(): number {
    return this.running;
  }

  /** Resolves when no request is in progress. */
  drain(): Promise<void> {
    if (this.running === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.drainWaiters.push(resolve);
    });
  }

  async generate(
    request: OnlineGenerationRequest,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd> {
    const { generation } = request;
    const model = this.options.configuration.get(RecordKind.Model, generation.model);
    if (model === undefined) {
      const message = `model ${generation.model} is not known`;
      return err(this.createRefusal(FaultCode.NotFound, message));
    }
    const prefixes = computePrefixHashes(generation.messages);
    const requestKey = computeGenerationKey(request, prefixes);
    const { io, quarantine } = this.options;
    const crashWatch = new CrashWatch(io.timer, quarantine, prefixes, requestKey);
    const delivered: string[] = [];
    const interTokenLatency = new InterTokenLatency();
    const deliver = (token: Token): void => {
      interTokenLatency.addToken(this.options.io.timer.now());
      onToken(token);
    };
    const runAttempt = (worker: Worker, attemptNumber: number, attemptSignal: AbortSignal) =>
      this.runGeneration(
        { request, worker, attemptNumber, delivered, prefixes, crashWatch, onToken: deliver },
        attemptSignal,
      );
    const target = `${generation.model}|${generation.adapter ?? ''}`;
    const { requestId } = generation;
    const route = { requestId, service: model.spec.service, target, prefixes };
    const reply = await this.track(() =>
      this.createLoop(route, request, crashWatch, signal).run(runAttempt),
    );
    this.recordInterTokenLatency(interTokenLatency, generation.model);
    return reply;
  }

  async call(request: OnlineServiceRequest, signal: AbortSignal): Reply<ServiceResponse> {
    const { requestId } = request.request;
    const { timer, backendServers } = this.options.io;
    const { quarantine } = this.options;
    const crashWatch = new CrashWatch(timer, quarantine, [], computeCallKey(request));
    const runAttempt = async (
      worker: Worker,
      _attemptNumber: number,
      attemptSignal: AbortSignal,
    ) => {
      const sentAt = timer.now();
      const attempt = new ServiceAttempt(backendServers, worker, request.request, attemptSignal);
      const reply = await attempt.run();
      if (reply.isOk()) {
        crashWatch.recordCompletion();
        this.options.router.recordSuccess(worker);
        this.options.router.recordLatency(worker, timer.now() - sentAt);
      }
      return reply;
    };
    const route = { requestId, service: request.service, target: '', prefixes: [] };
    return this.track(() => this.createLoop(route, request, crashWatch, signal).run(runAttempt));
  }

  private async runGeneration(attempt: GenerationAttempt, signal: AbortSignal): Reply<StreamEnd> {
    const { worker, attemptNumber, delivered } = attempt;
    const { generation } = attempt.request;
    const { timer, backendServers, metrics } = this.options.io;
    // A distinct id per attempt identifies late tokens of an earlier attempt.
    const requestId =
      attemptNumber === 1 ? generation.requestId : `${generation.requestId}.${attemptNumber}`;
    const sentAt = timer.now();
    let firstTokenMs: number | undefined;
    const watch = this.options.router.watchFirstToken(worker);
    const reply = await new Attempt({
      timer,
      backendServers,
      worker,
      generation: { ...generation, requestId, resumeTokens: [...delivered] },
      delivered,
      onToken: (token) => {
        firstTokenMs ??= timer.now() - sentAt;
        // Recorded at once, because answers of a slow worker take long to complete.
        watch.recordToken();
        attempt.crashWatch.recordAnswer();
        attempt.onToken({ ...token, requestId: generation.requestId });
      },
      signal,
    }).run();
    watch.end();
    if (reply.isErr()) return err(reply.error);
    attempt.crashWatch.recordCompletion();
    const latencyMs = firstTokenMs ?? timer.now() - sentAt;
    this.options.router.recordSuccess(worker);
    this.options.router.recordCompletion(worker.id, attempt.prefixes, reply.value.cachedTokens);
    metrics.timing('online.first_token', latencyMs, { model: generation.model });
    return ok({ ...reply.value, requestId: generation.requestId });
  }

  /** Records two samples per answer; one per token would exceed a VM's control traffic budget. */
  private recordInterTokenLatency(interTokenLatency: InterTokenLatency, model: string): void {
    const summary = interTokenLatency.summarize();
    if (summary === undefined) return;
    const { metrics } = this.options.io;
    metrics.timing('online.inter_token', summary.meanMs, { model });
    metrics.timing('online.inter_token_longest', summary.longestMs, { model });
  }

  private createLoop(
    route: { requestId: string; service: string; target: string; prefixes: readonly string[] },
    request: { idempotency: Idempotency; deadline: number },
    crashWatch: CrashWatch,
    signal: AbortSignal,
  ): AttemptLoop {
    const { idempotency, deadline } = request;
    const { router, loads, io } = this.options;
    const { budget, log } = this;
    return new AttemptLoop({
      io,
      router,
      loads,
      budget,
      crashWatch,
      log,
      route,
      idempotency,
      deadline,
      signal,
    });
  }

  private async track<T>(run: () => Reply<T>): Reply<T> {
    if (this.isStopped) {
      return err(this.createRefusal(FaultCode.Unavailable, 'this entry VM has stopped'));
    }
    this.running += 1;
    this.options.io.metrics.gauge('online.in_flight', this.running);
    try {
      return await run();
    } finally {
      this.running -= 1;
      if (this.running === 0) this.drainWaiters.splice(0).forEach((resolve) => resolve());
    }
  }

  private createRefusal(code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.NotRun, step: 'dispatch', message };
  }
}
