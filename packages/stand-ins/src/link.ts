/** Network path between a client and a service in one process, with fault injection. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err, type Result } from 'neverthrow';

export enum Reachability {
  Up = 'up',
  /** Connections are refused. */
  Refusing = 'refusing',
  /** Packets are dropped in both directions. */
  Cut = 'cut',
}

/** One-way latency: a minimum plus an exponentially distributed delay. */
export interface Latency {
  floorMs: number;
  meanExtraMs: number;
}

/** Faults of a service or of one client's path; they can be changed at any time. */
export interface LinkFaults {
  reachability: Reachability;
  latency: Latency;
  /** Probability that a request is lost before it takes effect. */
  lostRequestChance: number;
  /** Probability that a reply is lost after the call took effect. */
  lostReplyChance: number;
}

/** Creates faults that are all off. */
export const createLinkFaults = (): LinkFaults => ({
  reachability: Reachability.Up,
  latency: { floorMs: 0, meanExtraMs: 0 },
  lostRequestChance: 0,
  lostReplyChance: 0,
});

export interface LinkOptions {
  timer: Timer;
  random: Random;
  /** Name of the service in returned faults. */
  peer: string;
  /** Faults of the service, then of the client's path; all of them apply. */
  faults: readonly LinkFaults[];
  timeoutMs: number;
}

/** Draws a one-way latency. */
export const drawLatency = (random: Random, { floorMs, meanExtraMs }: Latency): number =>
  floorMs + (meanExtraMs > 0 ? -Math.log(1 - random.next()) * meanExtraMs : 0);

/** Carries calls of one client to one service. */
export class Link {
  constructor(private readonly options: LinkOptions) {}

  /** Runs a call at the service; waitMs extends the timeout of long-polling calls. */
  call<T>(step: string, run: () => Reply<T> | Result<T, Fault>, waitMs = 0): Reply<T> {
    const { timer, timeoutMs } = this.options;
    return new Promise((resolve) => {
      const timeout = timer.after(timeoutMs + waitMs, () => {
        resolve(err(this.createFault(step, FaultCode.Timeout, Outcome.OutcomeUnknown)));
      });
      const settle = (result: Result<T, Fault>): void => {
        timeout.cancel();
        resolve(result);
      };
      timer.after(this.drawLatency(), () => {
        void this.deliver(step, run, settle);
      });
    });
  }

  /** Returns true while packets are delivered and connections accepted. */
  isOpen(): boolean {
    return this.options.faults.every(({ reachability }) => reachability === Reachability.Up);
  }

  isRefusing(): boolean {
    return this.options.faults.some(({ reachability }) => reachability === Reachability.Refusing);
  }

  isCut(): boolean {
    return this.options.faults.some(({ reachability }) => reachability === Reachability.Cut);
  }

  drawLatency(): number {
    const { random, faults } = this.options;
    // A plain loop, because this runs for each token.
    let delay = 0;
    for (const { latency } of faults) delay += drawLatency(random, latency);
    return delay;
  }

  drawRequestLoss(): boolean {
    return this.options.faults.some((faults) => this.drawBoolean(faults.lostRequestChance));
  }

  createFault(step: string, code: FaultCode, outcome: Outcome): Fault {
    return { code, outcome, step, peer: this.options.peer, message: `${step} ended with ${code}` };
  }

  private async deliver<T>(
    step: string,
    run: () => Reply<T> | Result<T, Fault>,
    settle: (result: Result<T, Fault>) => void,
  ): Promise<void> {
    if (this.isCut() || this.drawRequestLoss()) return;
    if (this.isRefusing()) {
      settle(err(this.createFault(step, FaultCode.Unavailable, Outcome.NotRun)));
      return;
    }
    const result = await run();
    const lost = this.options.faults.some((faults) => this.drawBoolean(faults.lostReplyChance));
    if (this.isCut() || lost) return;
    if (this.isRefusing()) {
      settle(err(this.createFault(step, FaultCode.Interrupted, Outcome.OutcomeUnknown)));
      return;
    }
    this.options.timer.after(this.drawLatency(), () => settle(result));
  }

  private drawBoolean(chance: number): boolean {
    return chance > 0 && this.options.random.next() < chance;
  }
}
