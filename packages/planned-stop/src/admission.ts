import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { Timer } from '@jujubelanding/timer';
import { countEnough } from './fleet-share.js';
import { RequestDurations } from './request-durations.js';

/** Time from the end of a process until its VM serves again. */
const RESTART_MS = 1500;

const MIN_RETRY_AFTER_MS = 200;

/** A request may take longer than the longest recent one by this factor. */
const MARGIN = 2;

/** The same while no other VM serves, when a refused caller has nowhere to go. */
const MARGIN_OF_LAST_RESORT = 1.25;

/** Time from the end of a request until its response has been sent. */
const COMPLETION_MS = 100;

/** Step of the faults with which a stopping VM refuses requests. */
export const STOP_STEP = 'planned-stop';

/** The VMs of the fleet without this one. */
export interface FleetState {
  servingVms: number;
  /** Times at which VMs that are not back yet began to stop. */
  stoppingSince: readonly number[];
}

export interface AdmissionOptions {
  timer: Timer;
  log: Log;
  /** Time from the start of a stop until requests in progress are cut. */
  stopMs: number;
  /** Time after which a stopping VM ends if other VMs serve its callers. */
  callerDrainMs: number;
  readFleet: () => FleetState;
}

export interface RequestTime {
  /** Kind of request whose durations are alike. */
  kind: string;
  /** Time after which the request ends in any case, in milliseconds. */
  maxMs: number;
  /** False if the request may run only once, so that nobody repeats it once it was cut. */
  mayRepeat: boolean;
}

/** Refuses requests that a stopping VM could not complete. */
export class Admission {
  private readonly durations = new RequestDurations();

  private stoppedAt: number | undefined;

  constructor(private readonly options: AdmissionOptions) {}

  beginStop(): void {
    this.stoppedAt ??= this.options.timer.now();
  }

  /** Time at which the stop of this VM began. */
  get stoppingSince(): number | undefined {
    return this.stoppedAt;
  }

  recordDuration(kind: string, durationMs: number): void {
    this.durations.record(kind, durationMs, this.options.timer.now());
  }

  /** Returns a fault if the end of this process would cut the request. */
  refuse(request: RequestTime): Fault | undefined {
    if (this.stoppedAt === undefined) return undefined;
    const { timer, stopMs, log } = this.options;
    const { kind } = request;
    const now = timer.now();
    const remainingMs = this.stoppedAt + stopMs - now;
    const neededMs = this.estimate(request, now);
    if (neededMs <= remainingMs) return undefined;
    const retryAfterMs = this.computeRetryAfter(now);
    log.write('refused-by-stop', {
      kind,
      neededMs: Math.round(neededMs),
      remainingMs: Math.round(remainingMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
    return {
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step: STOP_STEP,
      message: 'this VM is being stopped and could not complete the request',
      retryAfterMs,
    };
  }

  /**
   * Returns the time that the request needs. Other VMs complete it in any case, so this one relies on an
   * estimate only while too few of them serve, or none for a request that may run only once.
   */
  private estimate({ kind, maxMs, mayRepeat }: RequestTime, now: number): number {
    const { servingVms, stoppingSince } = this.options.readFleet();
    const neededVms = mayRepeat ? countEnough(servingVms + stoppingSince.length + 1) : 1;
    if (servingVms >= neededVms) return maxMs + COMPLETION_MS;
    const margin = servingVms > 0 ? MARGIN : MARGIN_OF_LAST_RESORT;
    return this.durations.estimate(kind, maxMs, margin, now);
  }

  /** Another VM that serves can take the request at once; otherwise the first one to return can. */
  private computeRetryAfter(now: number): number {
    const { readFleet, callerDrainMs, stopMs } = this.options;
    const { servingVms, stoppingSince } = readFleet();
    if (servingVms > 0) return 0;
    const returns = [
      ...stoppingSince.map((since) => since + callerDrainMs + RESTART_MS),
      this.stoppedAt! + stopMs + RESTART_MS,
    ];
    const next = Math.min(...returns.filter((at) => at > now));
    return Number.isFinite(next) ? Math.max(MIN_RETRY_AFTER_MS, next - now) : MIN_RETRY_AFTER_MS;
  }
}
