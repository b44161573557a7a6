/** One attempt of a streamed generation on one worker. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { BackendServers } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import type { Generation, StreamEnd, Token, Worker } from '@jujubelanding/types';
import { err, type Result } from 'neverthrow';
import { StreamValidator, TokenAction } from './stream-validator.js';

/**
 * Time without a token after which a stream is considered broken. It is far above the p95
 * inter-token latency of 70 ms, so that a busy worker is not mistaken for a stopped one.
 */
export const STALL_TIMEOUT_MS = 5000;

export interface AttemptOptions {
  timer: Timer;
  backendServers: BackendServers;
  worker: Worker;
  generation: Generation;
  /** Token texts delivered by earlier attempts; this attempt appends to it. */
  delivered: string[];
  /** Receives each new token exactly once. */
  onToken: (token: Token) => void;
  /** Aborted when the caller disconnects or the deadline passes. */
  signal: AbortSignal;
}

/** Runs the attempt. On abort, it settles at once even if the worker does not respond. */
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
    const abort = (): void =>
      this.settle(err(this.createFault(FaultCode.Cancelled, 'the attempt was cancelled')));
    signal.addEventListener('abort', abort, { once: true });
    const stallDetection = this.detectStalls();
    if (signal.aborted) abort();
    else {
      void backendServers
        .generate(worker, generation, (token) => this.receive(token), this.controller.signal)
        .then((reply) => this.settle(reply.andThen((end) => this.validator.validateEnd(end))));
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
    // A worker may still send tokens after the attempt has settled.
    if (this.isSettled) return;
    this.hasToken = true;
    const checked = this.validator.accept(token);
    if (checked.isErr()) this.settle(err(checked.error));
    else if (checked.value === TokenAction.Deliver) this.deliver(token);
  }

  /**
   * A token counts as delivered before its receiver runs. If the receiver throws, a further attempt
   * would skip that token and still end as complete, so the request is rejected instead.
   */
  private deliver(token: Token): void {
    try {
      this.options.onToken(token);
    } catch (thrown) {
      if (this.isSettled) return;
      this.isSettled = true;
      this.cancelUpstream(
        this.createFault(FaultCode.Internal, 'the token receiver threw an error'),
      );
      this.reject(thrown);
    }
  }

  /** Checks for progress at intervals, which is cheaper than a timer per token. */
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

  /** Cancels work that may continue despite a broken connection; the result is ignored. */
  private cancelUpstream(fault: Fault): void {
    this.controller.abort();
    if (fault.outcome === Outcome.NotRun && !this.hasToken) return;
    const { backendServers, worker, generation } = this.options;
    void backendServers.cancel(worker, generation.requestId);
  }

  /** Adds the peer, and corrects `not-run` after a first token, which contradicts it. */
  private addContext(fault: Fault): Fault {
    const isContradictory = this.hasToken && fault.outcome === Outcome.NotRun;
    const outcome = isContradictory ? Outcome.OutcomeUnknown : fault.outcome;
    return { ...fault, outcome, peer: fault.peer ?? this.options.worker.id };
  }

  private createFault(code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.OutcomeUnknown, step: 'stream', message };
  }
}
