/** Admission of online requests of the own form: a short queue, and early refusal. */
import {
  AdmissionQueue,
  CHECK_MS,
  COUNT_AGE_MS,
  estimateTokens,
  type AdmissionRequest,
} from '@jujubelanding/admission-queue';
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type {
  Directory,
  EntryVmIo,
  OnlineAdmission,
  OnlineAdmissionRequest,
  OnlinePermit,
  WorkerLoads,
} from '@jujubelanding/interfaces';

/**
 * Longest time from the admission until a request has to start. Records of the own form state no objective;
 * it is this time, or the request time-out of the service if that is shorter.
 */
const MAX_OBJECTIVE_MS = 1000;

/** Team records have no priority, so that fairness between teams decides. */
const PRIORITY = 0;

/** Retry times are randomised, so that refused callers do not all retry at once. */
const RETRY_AFTER_MS = { least: 500, spread: 1000 };

export interface OnlineAdmissionOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'createLog' | 'metrics'>;
  maxOnlineInFlight: number;
  directory: Pick<Directory, 'workersOf'>;
  loads: Pick<WorkerLoads, 'get'>;
  countLiveVms: () => number;
}

/** Implements `OnlineAdmission` with the admission queue. */
export class OnlineAdmissionController implements OnlineAdmission {
  private readonly queue: AdmissionQueue;

  private isStopped = false;

  constructor(private readonly options: OnlineAdmissionOptions) {
    const { io, maxOnlineInFlight, directory, loads, countLiveVms } = options;
    const { timer, random, metrics } = io;
    this.queue = new AdmissionQueue({
      timer,
      random,
      metrics,
      log: io.createLog('admission-queue'),
      directory,
      loads,
      isHealthy: () => true,
      hasTeams: () => true,
      countVms: countLiveVms,
      wholeRequests: {
        maxInFlight: maxOnlineInFlight,
        // A single VM counts all requests itself.
        readCountAgeMs: () => (countLiveVms() > 1 ? COUNT_AGE_MS : CHECK_MS),
        drawRetryMs: () => this.drawRetryMs(),
      },
    });
  }

  start(): void {
    this.isStopped = false;
  }

  /** Refuses the requests that wait, and further ones. */
  stop(): void {
    this.isStopped = true;
    this.queue.update();
  }

  /** Resolves with a permit, or with a fault of outcome `not-run` and a retry time. */
  async admit(request: OnlineAdmissionRequest): Reply<OnlinePermit> {
    const { service, signal } = request;
    const admitted = await this.queue.admit(this.toAdmissionRequest(request));
    return admitted
      .map(({ release }) => ({ release: (isAnswered: boolean) => release(undefined, isAnswered) }))
      .mapErr((fault) => this.toCallerFault(fault, service, signal));
  }

  private toAdmissionRequest(request: OnlineAdmissionRequest): AdmissionRequest {
    const { team, bodyBytes, deadline, ...rest } = request;
    const arrivedAt = this.options.io.timer.now();
    return {
      ...rest,
      team: { name: team, priority: PRIORITY },
      priority: PRIORITY,
      tokens: estimateTokens(bodyBytes),
      arrivedAt,
      deadline,
      objectiveMs: Math.min(MAX_OBJECTIVE_MS, deadline - arrivedAt),
      refuseByStop: () => (this.isStopped ? this.createFault(request.service) : undefined),
    };
  }

  /** Gives the fault the step and the code that callers of the own form know. */
  private toCallerFault(fault: Fault, service: string, signal: AbortSignal): Fault {
    this.options.io.metrics.increment('overload.refused', { service });
    const code = signal.aborted ? FaultCode.Cancelled : fault.code;
    return { ...fault, code, step: 'overload' };
  }

  private createFault(service: string): Fault {
    return {
      code: FaultCode.Overloaded,
      outcome: Outcome.NotRun,
      step: 'overload',
      message: `service ${service} has no free capacity`,
      retryAfterMs: this.drawRetryMs(),
    };
  }

  private drawRetryMs(): number {
    return RETRY_AFTER_MS.least + this.options.io.random.nextInt(RETRY_AFTER_MS.spread);
  }
}
