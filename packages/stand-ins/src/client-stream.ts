/** Client side of one stream from an engine in the same process. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import type { Generation, StreamEnd, Token } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import type { ModelEngine, StreamHandle } from './engine/model-engine.js';
import type { Link } from './link.js';

export interface ClientStreamOptions {
  timer: Timer;
  link: Link;
  engine: ModelEngine;
  idleTimeoutMs: number;
  onToken: (token: Token) => void;
}

export class ClientStream {
  private engineStream: StreamHandle | undefined;

  private isSettled = false;

  /** True once a packet was lost; the connection then delivers nothing more. */
  private isBroken = false;

  private lastActivityAt = 0;

  /** Arrival time of the last packet; later packets never arrive before it, so their order is kept. */
  private lastArrivalAt = 0;

  private resolve: (result: Result<StreamEnd, Fault>) => void = () => {};

  private removeAbortListener: () => void = () => {};

  constructor(private readonly options: ClientStreamOptions) {}

  run(generation: Generation, signal: AbortSignal): Reply<StreamEnd> {
    const { link, timer } = this.options;
    if (signal.aborted) {
      return Promise.resolve(
        err(link.createFault('generate', FaultCode.Cancelled, Outcome.NotRun)),
      );
    }
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.lastActivityAt = timer.now();
      this.scheduleIdleCheck(this.options.idleTimeoutMs);
      const disconnectOnAbort = (): void => this.disconnect(FaultCode.Cancelled);
      signal.addEventListener('abort', disconnectOnAbort, { once: true });
      this.removeAbortListener = () => signal.removeEventListener('abort', disconnectOnAbort);
      timer.after(link.drawLatency(), () => this.deliverRequest(generation));
    });
  }

  private deliverRequest(generation: Generation): void {
    const { link, engine } = this.options;
    if (this.isSettled) return;
    if (link.isCut() || link.drawRequestLoss()) {
      this.isBroken = true;
      return;
    }
    if (link.isRefusing()) {
      this.settle(err(link.createFault('generate', FaultCode.Unavailable, Outcome.NotRun)));
      return;
    }
    engine.deferWhilePaused(() => this.start(generation));
  }

  private start(generation: Generation): void {
    const started = this.options.engine.start(generation, {
      onToken: (token) => this.deliverPacket(() => this.options.onToken(token)),
      onEnd: (end) => this.deliverPacket(() => this.settle(ok(end))),
      onFault: (fault) => this.deliverPacket(() => this.settle(err(fault))),
    });
    if (started.isErr()) this.deliverPacket(() => this.settle(err(started.error)));
    else this.engineStream = started.value;
  }

  /** Delivers a packet from the engine after the latency of the path. */
  private deliverPacket(deliver: () => void): void {
    const { link, timer } = this.options;
    if (this.isSettled || this.isBroken) return;
    if (link.isCut()) {
      this.isBroken = true;
      return;
    }
    const now = timer.now();
    this.lastArrivalAt = Math.max(this.lastArrivalAt, now + link.drawLatency());
    if (this.lastArrivalAt <= now) this.handlePacket(deliver);
    else timer.after(this.lastArrivalAt - now, () => this.handlePacket(deliver));
  }

  private handlePacket(deliver: () => void): void {
    if (this.isSettled) return;
    this.lastActivityAt = this.options.timer.now();
    deliver();
  }

  private scheduleIdleCheck(delayMs: number): void {
    const { timer, idleTimeoutMs } = this.options;
    timer.after(delayMs, () => {
      if (this.isSettled) return;
      const remainingMs = this.lastActivityAt + idleTimeoutMs - timer.now();
      if (remainingMs > 0) this.scheduleIdleCheck(remainingMs);
      else this.disconnect(FaultCode.Timeout);
    });
  }

  /** Closes the connection; the engine cancels its stream unless the path is cut. */
  private disconnect(code: FaultCode): void {
    if (this.isSettled) return;
    const { link, timer, engine } = this.options;
    this.settle(err(link.createFault('generate', code, Outcome.OutcomeUnknown)));
    timer.after(link.drawLatency(), () => {
      if (!link.isCut()) engine.deferWhilePaused(() => this.engineStream?.cancel());
    });
  }

  private settle(result: Result<StreamEnd, Fault>): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.removeAbortListener();
    this.resolve(result);
  }
}
