/** One stream between a client and an engine in the same process. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import type { Generation, StreamEnd, Token } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import type { ModelEngine, StreamHandle } from './engine/model-engine.js';
import type { Link } from './link.js';

export interface GroupStreamOptions {
  timer: Timer;
  link: Link;
  engine: ModelEngine;
  idleTimeoutMs: number;
  onToken: (token: Token) => void;
}

export class GroupStream {
  private handle: StreamHandle | undefined;

  private settled = false;

  /** True once a packet was lost: the connection carries nothing any more. */
  private broken = false;

  private lastActivity = 0;

  /** Packets arrive in the order in which they were sent. */
  private lastArrival = 0;

  private resolve: (result: Result<StreamEnd, Fault>) => void = () => {};

  private stopListening: () => void = () => {};

  constructor(private readonly options: GroupStreamOptions) {}

  run(generation: Generation, signal: AbortSignal): Reply<StreamEnd> {
    const { link, timer } = this.options;
    if (signal.aborted) {
      return Promise.resolve(
        err(link.createFault('generate', FaultCode.Cancelled, Outcome.NotRun)),
      );
    }
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.lastActivity = timer.now();
      this.watchIdleTime(this.options.idleTimeoutMs);
      const abort = (): void => this.giveUp(FaultCode.Cancelled);
      signal.addEventListener('abort', abort, { once: true });
      this.stopListening = () => signal.removeEventListener('abort', abort);
      timer.after(link.drawLatency(), () => this.deliver(generation));
    });
  }

  private deliver(generation: Generation): void {
    const { link, engine } = this.options;
    if (this.settled) return;
    if (link.isCut() || link.drawRequestLoss()) {
      this.broken = true;
      return;
    }
    if (link.isRefusing()) {
      this.settle(err(link.createFault('generate', FaultCode.Unavailable, Outcome.NotRun)));
      return;
    }
    engine.whenRunning(() => this.start(generation));
  }

  private start(generation: Generation): void {
    const started = this.options.engine.start(generation, {
      onToken: (token) => this.arrive(() => this.options.onToken(token)),
      onEnd: (end) => this.arrive(() => this.settle(ok(end))),
      onFault: (fault) => this.arrive(() => this.settle(err(fault))),
    });
    if (started.isErr()) this.arrive(() => this.settle(err(started.error)));
    else this.handle = started.value;
  }

  /** Delivers a packet of the engine after the latency of the path. */
  private arrive(deliver: () => void): void {
    const { link, timer } = this.options;
    if (this.settled || this.broken) return;
    if (link.isCut()) {
      this.broken = true;
      return;
    }
    const now = timer.now();
    this.lastArrival = Math.max(this.lastArrival, now + link.drawLatency());
    if (this.lastArrival <= now) this.receive(deliver);
    else timer.after(this.lastArrival - now, () => this.receive(deliver));
  }

  private receive(deliver: () => void): void {
    if (this.settled) return;
    this.lastActivity = this.options.timer.now();
    deliver();
  }

  private watchIdleTime(delayMs: number): void {
    const { timer, idleTimeoutMs } = this.options;
    timer.after(delayMs, () => {
      if (this.settled) return;
      const remaining = this.lastActivity + idleTimeoutMs - timer.now();
      if (remaining > 0) this.watchIdleTime(remaining);
      else this.giveUp(FaultCode.Timeout);
    });
  }

  /** Closes the connection; the engine learns of it unless the path is cut. */
  private giveUp(code: FaultCode): void {
    if (this.settled) return;
    const { link, timer, engine } = this.options;
    this.settle(err(link.createFault('generate', code, Outcome.OutcomeUnknown)));
    timer.after(link.drawLatency(), () => {
      if (!link.isCut()) engine.whenRunning(() => this.handle?.cancel());
    });
  }

  private settle(result: Result<StreamEnd, Fault>): void {
    if (this.settled) return;
    this.settled = true;
    this.stopListening();
    this.resolve(result);
  }
}
