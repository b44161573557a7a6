/** Forwards one online request to as many workers as its route allows. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { WorkerLoads } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { RequestForwarder, WorkerFault, WorkerResponse } from '@jujubelanding/platform';
import { computeRequestKey, type PromptQuarantine } from '@jujubelanding/prompt-quarantine';
import type { Admission } from '@jujubelanding/planned-stop';
import type { Random } from '@jujubelanding/random';
import { mayRepeat, RouteKind, RouteTable, type Route } from '@jujubelanding/route-table';
import type { FirstTokenWatch, Router } from '@jujubelanding/routing';
import type { Timer } from '@jujubelanding/timer';
import type { Worker } from '@jujubelanding/types';
import { ResponseRelay } from './response-relay.js';
import { decideNext, isWorkerFault, NextStep } from './attempt-policy.js';
import type { CallerExchange } from './caller-exchange.js';
import { sendError } from './error-response.js';
import { QueuePassage, toAdmissionRequest, type RequestQueue } from './queue-passage.js';

export interface OnlineForwarderOptions {
  /** Lets requests wait for services that are full; without one, each request is sent at once. */
  queue?: RequestQueue;
  admission?: Pick<Admission, 'refuse'>;
  timer: Timer;
  random: Random;
  router: Router;
  loads: WorkerLoads;
  quarantine: Pick<
    PromptQuarantine,
    | 'findBlock'
    | 'isSuspected'
    | 'recordAnswer'
    | 'recordCompletion'
    | 'recordCut'
    | 'recordData'
    | 'recordLoss'
    | 'takeProbe'
  >;
  backends: RequestForwarder;
  metrics: Metrics;
  log: Log;
}

interface Attempt {
  worker: Worker;
  fault?: WorkerFault;
  response?: WorkerResponse;
}

export class OnlineForwarder {
  private readonly relay: ResponseRelay;

  private readonly abortController = new AbortController();

  private avoided = new Set<string>();

  /** Workers at which an attempt failed other than by a refusal as full. */
  private readonly failedWorkers = new Set<string>();

  /** The same for all attempts of the caller at this request. */
  private readonly requestKey: string;

  /** Number of attempts that have run, or may have run. */
  private runs = 0;

  private sends = 0;

  /** Number of sends that workers without a queue refused because they were full. */
  private fullRefusals = 0;

  private passage: QueuePassage | undefined;

  private isTimedOut = false;

  /** Time of the first event or, for other responses, of the first chunk. */
  private firstDataAt: number | undefined;

  /** Time at which the attempt in progress received an event or, for other responses, a chunk. */
  private attemptDataAt: number | undefined;

  /** Worker of the attempt in progress, and the time at which the attempt was sent. */
  private sentTo: { worker: Worker; at: number } | undefined;

  /** First-token watch of the attempt in progress; undefined for plain services. */
  private firstTokenWatch: FirstTokenWatch | undefined;

  constructor(
    private readonly options: OnlineForwarderOptions,
    private readonly exchange: CallerExchange,
    private readonly route: Route,
    private readonly configurationVersion: number,
  ) {
    this.requestKey = computeRequestKey(exchange.request);
    this.relay = new ResponseRelay(exchange, route, () => {
      this.firstDataAt ??= options.timer.now();
      if (this.attemptDataAt === undefined) this.recordAnswer();
      this.attemptDataAt ??= options.timer.now();
      this.recordData();
      this.firstTokenWatch?.recordToken();
    });
  }

  /** True if the request was refused and no worker has got any of it. */
  get wasRefusedUnsent(): boolean {
    return this.sends === 0 && !this.exchange.signal.aborted;
  }

  /** Resolves with whether the caller got the answer of a worker. */
  async run(): Promise<boolean> {
    const { timer } = this.options;
    const { signal } = this.exchange;
    const abortOnDisconnect = (): void => this.abortController.abort();
    signal.addEventListener('abort', abortOnDisconnect, { once: true });
    if (signal.aborted) abortOnDisconnect();
    const timeout = timer.after(this.remainingMs(), () => {
      this.isTimedOut = true;
      this.abortController.abort();
    });
    const lastResult = await this.runAttempts();
    timeout.cancel();
    signal.removeEventListener('abort', abortOnDisconnect);
    return this.finish(lastResult);
  }

  private async runAttempts(): Promise<Attempt | Fault> {
    const { random, router } = this.options;
    const service =
      RouteTable.chooseService(this.route, random.next(), (name) => router.hasWorkers(name)) ?? '';
    const passage = this.createPassage(service);
    this.passage = passage;
    for (;;) {
      const waiting = passage.enter();
      const refusal = waiting && (await waiting);
      if (refusal !== undefined) return refusal;
      const attempt = await this.attempt(service, passage.avoided);
      if (!('worker' in attempt)) {
        passage.leave(undefined);
        return attempt;
      }
      const isReturned = passage.leave(attempt.fault, attempt.worker.id);
      if (isReturned) this.fullRefusals += 1;
      const next = this.decide(attempt);
      if (next === NextStep.Finish) return attempt;
      // A worker that was full may have room again; one that failed is avoided until the end.
      if (isReturned) this.avoided = new Set(this.failedWorkers);
      else this.failedWorkers.add(attempt.worker.id);
      this.avoided.add(attempt.worker.id);
      this.relay.reset();
    }
  }

  /** Chooses a worker and sends the request to it. */
  private async attempt(service: string, avoided?: ReadonlySet<string>): Promise<Attempt | Fault> {
    const { router, quarantine } = this.options;
    const { requestId, promptPrefixes: prefixes } = this.exchange.request;
    const block = quarantine.findBlock(prefixes, this.requestKey);
    if (block !== undefined) return block;
    const routed = router.route({
      requestId,
      service,
      target: '',
      prefixes,
      avoided: this.failedWorkers.size === 0 ? (avoided ?? this.avoided) : this.avoided,
      gatherKey: quarantine.isSuspected(this.requestKey) ? this.requestKey : undefined,
      isFinalAttempt: !mayRepeat(this.route) || this.runs + 1 >= this.route.maxAttempts,
    });
    return routed.isErr() ? routed.error : this.send(routed.value);
  }

  private createPassage(service: string): QueuePassage {
    const { queue, timer, admission } = this.options;
    const { name: kind } = this.route;
    const request = toAdmissionRequest(this.exchange.request, this.route, {
      service,
      deadline: timer.now() + this.remainingMs(),
      signal: this.abortController.signal,
      refuseByStop: () =>
        admission?.refuse({ kind, maxMs: this.remainingMs(), mayRepeat: mayRepeat(this.route) }),
    });
    return new QueuePassage(queue, request);
  }

  private async send(worker: Worker): Promise<Attempt> {
    const { loads, backends, router, timer } = this.options;
    const { request } = this.exchange;
    const sentAt = timer.now();
    this.sends += 1;
    this.attemptDataAt = undefined;
    this.sentTo = { worker, at: sentAt };
    loads.beginRequest(worker.id);
    const probe = this.options.quarantine.takeProbe(request.promptPrefixes);
    // Plain services stream no tokens, and their requests may take longer.
    const isStream = this.route.kind === RouteKind.Streaming;
    this.firstTokenWatch = isStream ? router.watchFirstToken(worker) : undefined;
    const resumeAfter = this.relay.lastEventId ?? request.resumeAfter;
    const reply = await backends.forward(
      worker,
      { ...request, remainingMs: this.remainingMs(), resumeAfter },
      this.relay,
      this.abortController.signal,
    );
    loads.endRequest(worker.id);
    this.firstTokenWatch?.end();
    if (!isStream && reply.isOk()) router.recordLatency(worker, timer.now() - sentAt);
    if (reply.isErr()) {
      if (reply.error.outcome === Outcome.NotRun) probe?.giveBack();
      else this.runs += 1;
      return this.fail(worker, this.relay.formatFault ?? reply.error);
    }
    this.runs += 1;
    const fault = this.relay.validate();
    if (fault !== undefined) return this.fail(worker, fault);
    router.recordSuccess(worker, reply.value.status);
    // Answers without a body come without data.
    if (this.attemptDataAt === undefined) this.recordAnswer();
    this.options.quarantine.recordCompletion(this.requestKey);
    // Responses do not state how many tokens were cached; any number but 0 keeps the indexed prefixes.
    router.recordCompletion(worker.id, request.promptPrefixes, 1);
    return { worker, response: reply.value };
  }

  private fail(worker: Worker, fault: WorkerFault): Attempt {
    this.recordFault(worker, fault);
    return { worker, fault };
  }

  private recordAnswer(): void {
    const { promptPrefixes } = this.exchange.request;
    this.options.quarantine.recordAnswer(promptPrefixes);
    this.passage?.recordData();
  }

  /** Data that waited for a slow caller may have been sent before a crash, so they show nothing. */
  private recordData(): void {
    if (this.sentTo === undefined || this.relay.hasPaused) return;
    const { worker } = this.sentTo;
    this.options.quarantine.recordData(worker.id, worker.startedAt);
  }

  private recordFault(worker: Worker, fault: Fault): void {
    const { router, log, metrics } = this.options;
    const { requestId, promptPrefixes } = this.exchange.request;
    if (this.isTimedOut && this.attemptDataAt === undefined) router.recordTimeout(worker);
    if (this.abortController.signal.aborted) return;
    log.write('attempt-failed', {
      request: requestId,
      worker: worker.id,
      code: fault.code,
      outcome: fault.outcome,
      message: fault.message,
      sends: this.sends,
      hasData: this.attemptDataAt !== undefined,
      parts: promptPrefixes,
      key: this.requestKey,
    });
    metrics.increment('online.attempt_failed', { code: fault.code });
    if (isWorkerFault(fault)) router.recordFault(worker);
    if (fault.code === FaultCode.Interrupted || this.relay.isTruncated) this.recordLoss(worker);
  }

  private recordLoss({ id, startedAt }: Worker): void {
    const { quarantine } = this.options;
    const { promptPrefixes } = this.exchange.request;
    const sentAt = this.sentTo!.at;
    const firstDataAt = this.attemptDataAt;
    if (firstDataAt === undefined) {
      quarantine.recordLoss(id, promptPrefixes, this.requestKey, startedAt, sentAt);
    } else quarantine.recordCut(id, this.requestKey, { startedAt, sentAt, firstDataAt });
  }

  private decide({ fault, response }: Attempt): NextStep {
    return decideNext({
      fault,
      status: response?.status,
      kind: this.route.kind,
      isResumable: this.route.isResumable,
      hasStarted: this.exchange.hasStarted(),
      canResume: this.relay.canResume,
      isAborted: this.abortController.signal.aborted,
      runs: this.runs,
      sends: this.sends - this.fullRefusals,
      maxRuns: this.route.maxAttempts,
      remainingMs: this.remainingMs(),
    });
  }

  private finish(lastResult: Attempt | Fault): boolean {
    const attempt = 'worker' in lastResult ? lastResult : undefined;
    const fault = 'worker' in lastResult ? lastResult.fault : lastResult;
    if (this.exchange.signal.aborted) {
      this.logEnd('caller-left', attempt, fault);
      return false;
    }
    if (fault === undefined) {
      this.relay.finish();
      this.logEnd('answered', attempt, fault);
      return true;
    }
    const outcome = this.chooseOutcome(fault);
    const timedOut = this.isTimedOut
      ? { ...fault, code: FaultCode.Timeout, message: 'the deadline of the request has passed' }
      : fault;
    this.logEnd(outcome === Outcome.NotRun ? 'refused' : 'failed', attempt, timedOut);
    sendError(this.exchange, { ...timedOut, outcome });
    return false;
  }

  /** A request counts as not run only if no attempt has run, even if the last one did not. */
  private chooseOutcome({ outcome }: Fault): Outcome {
    if (this.runs === 0) return Outcome.NotRun;
    return outcome === Outcome.NotRun ? Outcome.OutcomeUnknown : outcome;
  }

  private logEnd(outcome: string, attempt: Attempt | undefined, fault: Fault | undefined): void {
    const { log, metrics, timer, loads } = this.options;
    const { requestId, arrivedAt } = this.exchange.request;
    const durationMs = timer.now() - arrivedAt;
    const firstMs = this.firstDataAt === undefined ? undefined : this.firstDataAt - arrivedAt;
    const worker = attempt?.worker;
    log.write('request', {
      request: requestId,
      route: this.route.name,
      outcome,
      status: attempt?.response?.status,
      worker: worker?.id,
      sends: this.sends,
      runs: this.runs,
      firstMs: firstMs === undefined ? undefined : Math.round(firstMs),
      durationMs: Math.round(durationMs),
      online: worker === undefined ? undefined : loads.get(worker.id).online,
      batch: worker === undefined ? undefined : loads.get(worker.id).batch,
      configuration: this.configurationVersion,
      code: fault?.code,
      message: fault?.message,
    });
    const tags = { kind: this.route.kind, outcome };
    metrics.increment('online.requests', tags);
    metrics.timing('online.duration', durationMs, tags);
    if (firstMs !== undefined) metrics.timing('online.first_event', firstMs, tags);
  }

  /** Time until the caller stops waiting or the route's timeout expires. */
  private remainingMs(): number {
    const { arrivedAt, waitMs = Infinity } = this.exchange.request;
    return Math.min(waitMs, this.route.timeoutMs) - (this.options.timer.now() - arrivedAt);
  }
}
