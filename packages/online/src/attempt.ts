/** One attempt of a streamed generation on one worker. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { BackendServers } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import type { Generation, StreamEnd, Token, Worker } from '@jujubelanding/types';
import { err, type Result } from 'neverthrow';
import { StreamValidator, TokenAction } from './stream-validator.js';

/**
 * Time without a token after which a stream counts as broken. Far above the 70 ms between tokens at
 * p95, so that a busy worker isn't mistaken for a stopped one.
 */
export const STALL_TIMEOUT_MS = 5000;

export interface AttemptOptions {
  timer: Timer;
  backendServers: BackendServers;
  worker: Worker;
  generation: Generation;
  /** Texts delivered by earlier attempts; this attempt appends to it. */
  delivered: string[];
  /** Gets each new token once. */
  onToken: (token: Token) => void;
  /** Aborted when the caller goes away or the deadline passes. */
  signal: AbortSignal;
}

/** Runs the attempt; settles at once when it is aborted, also when the worker does not react. */
export class Attempt {
  private readonly controller = new AbortController();

  private readonly validator: StreamValidator;

  private isSettled = false;

  private hasToken = false;

  private resolve!: (result: Result<StreamEnd, Fault>) => void;

  private reject!: (thrown: unknown) => void;

  constructor(private readonly options: AttemptOptions) {
    this.validator = new StreamValidator(options.generation.requestId, options.delivered);
  }

  async run(): Reply<StreamEnd> {
    const { signal, worker, generation, backendServers } = this.options;
    const settled = new Promise<Result<StreamEnd, Fault>>((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    const abort = (): void => this.settle(err(this.createFault(FaultCode.Cancelled, 'cancelled')));
    signal.addEventListener('abort', abort, { once: true });
    const stallDetection = this.detectStalls();
    if (signal.aborted) abort();
    else {
      void backendServers
        .generate(worker, generation, (token) => this.receive(token), this.controller.signal)
        .then((answer) => this.settle(answer.andThen((end) => this.validator.validateEnd(end))));
    }
    try {
      const result = await settled;
      return result.mapErr((fault) => this.addContext(fault));
    } finally {
      stallDetection.cancel();
      signal.removeEventListener('abort', abort);
    }
  }

  private receive(token: Token): void {
    // A worker may still send after the attempt was given up.
    if (this.isSettled) return;
    this.hasToken = true;
    const checked = this.validator.accept(token);
    if (checked.isErr()) this.settle(err(checked.error));
    else if (checked.value === TokenAction.Deliver) this.deliver(token);
  }

  /**
   * A token counts as delivered before its receiver runs. When the receiver throws, a further attempt
   * would leave the token out and still end as whole, so the request is given up.
   */
  private deliver(token: Token): void {
    try {
      this.options.onToken(token);
    } catch (thrown) {
      if (this.isSettled) return;
      this.isSettled = true;
      this.cancelUpstream(this.createFault(FaultCode.Internal, 'the receiver failed'));
      this.reject(thrown);
    }
  }

  /** Checks for progress at intervals; a subscription per token would cost more. */
  private detectStalls() {
    let lastCount = -1;
    return this.options.timer.every(STALL_TIMEOUT_MS, () => {
      const isStalled = this.hasToken && lastCount === this.options.delivered.length;
      lastCount = this.options.delivered.length;
      if (isStalled) {
        this.settle(err(this.createFault(FaultCode.Interrupted, 'the stream made no progress')));
      }
    });
  }

  private settle(result: Result<StreamEnd, Fault>): void {
    if (this.isSettled) return;
    this.isSettled = true;
    if (result.isErr()) this.cancelUpstream(result.error);
    this.resolve(result);
  }

  /** Ends work that goes on behind a broken connection; the result of the call doesn't matter. */
  private cancelUpstream(fault: Fault): void {
    this.controller.abort();
    if (fault.outcome === Outcome.NotRun && !this.hasToken) return;
    const { backendServers, worker, generation } = this.options;
    void backendServers.cancel(worker, generation.requestId);
  }

  /** Adds the peer; a fault after the first token can't mean that nothing ran. */
  private addContext(fault: Fault): Fault {
    const isContradictory = this.hasToken && fault.outcome === Outcome.NotRun;
    const outcome = isContradictory ? Outcome.OutcomeUnknown : fault.outcome;
    return { ...fault, outcome, peer: fault.peer ?? this.options.worker.id };
  }

  private createFault(code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.OutcomeUnknown, step: 'stream', message };
  }
}
