/** Retries one request on different workers until it succeeds or must not be retried. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { EntryVmIo, WorkerLoads } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { RetryBudget, Router } from '@jujubelanding/routing';
import type { Idempotency, Worker } from '@jujubelanding/types';
import { err } from 'neverthrow';
import type { CrashWatch } from './crash-watch.js';
import {
  combineOutcomes,
  computeBackoff,
  decideRetry,
  FaultClass,
  classifyFault,
  RetryDecision,
} from './retry-policy.js';

export interface AttemptLoopOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'metrics'>;
  router: Router;
  loads: WorkerLoads;
  budget: RetryBudget;
  crashWatch: CrashWatch;
  log: Log;
  route: { requestId: string; service: string; target: string; prefixes: readonly string[] };
  idempotency: Idempotency;
  deadline: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

export type AttemptRunner<T> = (
  worker: Worker,
  attemptNumber: number,
  signal: AbortSignal,
) => Reply<T>;

/** Runs the attempts of one request. */
export class AttemptLoop {
  private readonly controller = new AbortController();

  private readonly avoided = new Set<string>();

  /** Combined outcome of all attempts so far. */
  private outcome = Outcome.NotRun;

  private isTimedOut = false;

  constructor(private readonly options: AttemptLoopOptions) {}

  async run<T>(runAttempt: AttemptRunner<T>): Reply<T> {
    const { signal, deadline, io, budget } = this.options;
    budget.addRequest();
    const abort = (): void => this.controller.abort();
    if (signal.aborted) abort();
    else signal.addEventListener('abort', abort, { once: true });
    const timeout = io.timer.after(deadline - io.timer.now(), () => {
      this.isTimedOut = true;
      abort();
    });
    try {
      return await this.runAttempts(runAttempt);
    } finally {
      timeout.cancel();
      signal.removeEventListener('abort', abort);
    }
  }

  private async runAttempts<T>(runAttempt: AttemptRunner<T>): Reply<T> {
    let lastFault: Fault | undefined;
    for (let attempts = 1; ; attempts += 1) {
      if (this.controller.signal.aborted) return err(this.createAbortFault());
      const block = this.options.crashWatch.findBlock();
      if (block !== undefined) return err({ ...(lastFault ?? block), outcome: this.outcome });
      const reply = await this.runOnWorker(runAttempt, attempts);
      if (reply.isOk()) return reply;
      this.outcome = combineOutcomes(this.outcome, reply.error.outcome);
      if (this.controller.signal.aborted) return err(this.createAbortFault(reply.error));
      const backoffMs = computeBackoff(attempts, this.options.io.random.next());
      const decision = this.decide(reply.error, attempts, backoffMs);
      this.logFailure(reply.error, attempts, decision);
      if (decision !== RetryDecision.Retry) return err({ ...reply.error, outcome: this.outcome });
      lastFault = reply.error;
      await this.options.io.timer.sleep(backoffMs);
    }
  }

  private async runOnWorker<T>(runAttempt: AttemptRunner<T>, attemptNumber: number): Reply<T> {
    const { router, loads, route } = this.options;
    const routed = router.route({ ...route, avoided: this.avoided });
    if (routed.isErr()) return err(routed.error);
    const worker = routed.value;
    this.options.crashWatch.beginAttempt();
    loads.beginRequest(worker.id);
    try {
      const reply = await runAttempt(worker, attemptNumber, this.controller.signal);
      if (reply.isErr() && !this.controller.signal.aborted) this.recordFault(worker, reply.error);
      return reply;
    } finally {
      loads.endRequest(worker.id);
    }
  }

  private recordFault(worker: Worker, fault: Fault): void {
    this.avoided.add(worker.id);
    this.options.crashWatch.recordFault(worker.id, fault);
    if (fault.code === FaultCode.NotFound) {
      this.options.router.recordMissingTarget(worker.id, this.options.route.target);
    }
    if (classifyFault(fault) === FaultClass.WorkerFault) this.options.router.recordFault(worker);
  }

  private decide(fault: Fault, attempts: number, backoffMs: number): RetryDecision {
    const { idempotency, deadline, io, budget, crashWatch } = this.options;
    const { losses } = crashWatch;
    const now = io.timer.now();
    const takeRetry = (): boolean => budget.takeRetry();
    const attempt = { fault, idempotency, attempts, losses, backoffMs, now, deadline };
    return decideRetry({ ...attempt, takeRetry });
  }

  private logFailure(fault: Fault, attempts: number, decision: RetryDecision): void {
    this.options.log.write('attempt-failed', {
      request: this.options.route.requestId,
      worker: fault.peer,
      attempt: attempts,
      code: fault.code,
      outcome: fault.outcome,
      next: decision,
      message: fault.message,
    });
    const tags = { code: fault.code, next: decision };
    this.options.io.metrics.increment('online.attempt_failed', tags);
  }

  private createAbortFault(cause?: Fault): Fault {
    return {
      code: this.isTimedOut ? FaultCode.Timeout : FaultCode.Cancelled,
      outcome: this.outcome,
      step: 'dispatch',
      ...(cause?.peer === undefined ? {} : { peer: cause.peer }),
      message: this.isTimedOut ? 'the deadline has passed' : 'the caller has disconnected',
    };
  }
}
