/** Admission control for online requests: bounded queue, bounded wait, early refusal. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Directory, EntryVmIo, Permit, WorkerLoads } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import {
  decideOverload,
  DEFAULT_OVERLOAD_BOUNDS,
  OverloadDecision,
  type OverloadBounds,
} from './overload.js';

/** Waiting requests are rechecked at this interval, since other VMs also cause load to drop. */
const RECHECK_INTERVAL_MS = 50;

/** Retry times are randomised, so that refused callers do not all retry at once. */
const RETRY_AFTER_MS = { least: 500, spread: 1000 };

export interface OverloadControllerOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'createLog' | 'metrics'>;
  maxOnlineInFlight: number;
  directory: Directory;
  loads: WorkerLoads;
  bounds?: Partial<OverloadBounds>;
}

interface WaitingRequest {
  service: string;
  waitUntil: number;
  admit: () => void;
  refuse: (fault: Fault) => void;
}

/** Controls the admission of online requests to this VM. */
export class OverloadController {
  private readonly bounds: OverloadBounds;

  private readonly waiting: WaitingRequest[] = [];

  private running = 0;

  private readonly subscriptions: Subscription[] = [];

  private readonly log: Log;

  constructor(private readonly options: OverloadControllerOptions) {
    const { maxOnlineInFlight } = options;
    this.bounds = { ...DEFAULT_OVERLOAD_BOUNDS, maxOnlineInFlight, ...options.bounds };
    this.log = options.io.createLog('overload');
  }

  start(): void {
    const { timer } = this.options.io;
    this.subscriptions.push(timer.every(RECHECK_INTERVAL_MS, () => this.recheckWaiting()));
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.waiting.splice(0).forEach(({ service, refuse }) => refuse(this.createFault(service)));
  }

  get inFlight(): number {
    return this.running;
  }

  /** Resolves with a permit, or with a fault of outcome `not-run` and a retry time. */
  async admit(service: string, signal: AbortSignal): Reply<Permit> {
    // Requests of the same service are admitted in order of arrival.
    const decision = this.waiting.some((entry) => entry.service === service)
      ? this.decideBehindQueue()
      : this.decide(service);
    if (decision === OverloadDecision.Admit) return ok(this.createPermit());
    if (decision === OverloadDecision.Refuse) return err(this.createFault(service));
    return this.wait(service, signal);
  }

  /** Decides on a request; `admitted` counts requests that the load does not include yet. */
  private decide(service: string, admitted = 0): OverloadDecision {
    const loads = this.options.directory
      .workersOf(service)
      .map((worker) => this.options.loads.get(worker.id));
    const state = { inFlight: this.running, waiting: this.waiting.length, loads, admitted };
    return decideOverload(state, this.bounds);
  }

  private decideBehindQueue(): OverloadDecision {
    const hasRoom = this.waiting.length < this.bounds.maxWaiting;
    return hasRoom ? OverloadDecision.Wait : OverloadDecision.Refuse;
  }

  private wait(service: string, signal: AbortSignal): Reply<Permit> {
    return new Promise((resolve) => {
      const entry: WaitingRequest = {
        service,
        waitUntil: this.options.io.timer.now() + this.bounds.maxWaitMs,
        admit: () => resolve(ok(this.createPermit())),
        refuse: (fault) => resolve(err(fault)),
      };
      this.waiting.push(entry);
      const cancel = (): void => {
        const position = this.waiting.indexOf(entry);
        if (position === -1) return;
        this.waiting.splice(position, 1);
        entry.refuse({ ...this.createFault(service), code: FaultCode.Cancelled });
      };
      if (signal.aborted) cancel();
      else signal.addEventListener('abort', cancel, { once: true });
    });
  }

  private createPermit(): Permit {
    this.running += 1;
    let isHeld = true;
    return {
      release: () => {
        if (!isHeld) return;
        isHeld = false;
        this.running -= 1;
        this.recheckWaiting();
      },
    };
  }

  private recheckWaiting(): void {
    const now = this.options.io.timer.now();
    const admitted = new Map<string, number>();
    const blockedServices = new Set<string>();
    for (const entry of [...this.waiting]) {
      const { service } = entry;
      const count = admitted.get(service) ?? 0;
      if (now >= entry.waitUntil) {
        this.remove(entry);
        entry.refuse(this.createFault(service));
      } else if (
        blockedServices.has(service) ||
        this.decide(service, count) !== OverloadDecision.Admit
      ) {
        blockedServices.add(service);
      } else {
        this.remove(entry);
        entry.admit();
        admitted.set(service, count + 1);
      }
    }
  }

  private remove(entry: WaitingRequest): void {
    this.waiting.splice(this.waiting.indexOf(entry), 1);
  }

  private createFault(service: string): Fault {
    const { least, spread } = RETRY_AFTER_MS;
    const retryAfterMs = least + this.options.io.random.nextInt(spread);
    this.log.write('refuse', { service, inFlight: this.running, waiting: this.waiting.length });
    this.options.io.metrics.increment('overload.refused', { service });
    return {
      code: FaultCode.Overloaded,
      outcome: Outcome.NotRun,
      step: 'overload',
      message: `service ${service} has no free capacity`,
      retryAfterMs,
    };
  }
}
