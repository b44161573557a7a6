/** Short queue of online requests at an entry VM. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Directory, WorkerLoad, WorkerLoads } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { COUNT_AGE_MS, FleetRoom } from './fleet-room.js';
import { InFlightBound } from './in-flight-bound.js';
import { PacedRoom } from './paced-room.js';
import { ServiceQueue, type Refusal } from './service-queue.js';
import type { AdmissionRequest, RefusalLoad, Room, SendPermit } from './types.js';

/** For VMs that let each request, to engines and plain services, pass the queue once for all its attempts. */
export interface WholeRequestOptions {
  /** Bound on the requests of all services that this VM has in progress. */
  maxInFlight: number;
  /** Age of the counts of other VMs. */
  readCountAgeMs: () => number;
  /** Returns the delay after which a refused caller may retry. */
  drawRetryMs: () => number;
}

export interface AdmissionQueueOptions {
  timer: Timer;
  random: Random;
  log: Log;
  metrics: Metrics;
  directory: Pick<Directory, 'workersOf'>;
  loads: Pick<WorkerLoads, 'get'>;
  /** False for a worker that was ejected, or has to prove that it serves again. */
  isHealthy: (workerId: string) => boolean;
  /** True if the configuration has teams, so that requests to engines wait here for free slots. */
  hasTeams: () => boolean;
  countVms: () => number;
  /** If given, the room of all services is that of engines, and no service is paced. */
  wholeRequests?: WholeRequestOptions;
}

interface PacedService {
  room: PacedRoom;
  queue: ServiceQueue;
}

interface FleetTotals {
  slots: number;
  online: number;
}

export class AdmissionQueue {
  private readonly inFlight: InFlightBound;

  /** Services whose room is that of engines. */
  private readonly engines = new Map<string, ServiceQueue>();

  /** Plain services that have refused requests as full. */
  private readonly paced = new Map<string, PacedService>();

  constructor(private readonly options: AdmissionQueueOptions) {
    this.inFlight = new InFlightBound(options.wholeRequests?.maxInFlight);
  }

  /** True if the request needs a permit before it is sent. */
  isActive({ service, isStream }: AdmissionRequest): boolean {
    if (this.options.wholeRequests !== undefined) return true;
    if (isStream) return this.options.hasTeams();
    const paced = this.paced.get(service);
    if (paced === undefined) return false;
    if (paced.room.isActive || paced.queue.size > 0) return true;
    this.paced.delete(service);
    return false;
  }

  /** Resolves with a permit, or with a fault of outcome `not-run`. */
  admit(request: AdmissionRequest): Reply<SendPermit> {
    const { service, isStream } = request;
    const hasFleetRoom = isStream || this.options.wholeRequests !== undefined;
    const queue = hasFleetRoom ? this.findEngine(service) : this.findPaced(service).queue;
    return queue.admit(request);
  }

  /**
   * Returns a request that a worker without a queue has refused as full. Resolves with a permit to send it
   * again, or with a fault of outcome `not-run`.
   */
  returnRefused(request: AdmissionRequest, load: RefusalLoad, workerId: string): Reply<SendPermit> {
    const { room, queue } = this.findPaced(request.service);
    room.recordRefusal(load, request.objectiveMs);
    return queue.admit(request, workerId);
  }

  /** Checks the waiting requests again; call when this VM begins to stop. */
  update(): void {
    for (const queue of this.engines.values()) queue.update();
    for (const { queue } of this.paced.values()) queue.update();
  }

  private findEngine(service: string): ServiceQueue {
    const known = this.engines.get(service);
    if (known !== undefined) return known;
    const { timer, random, countVms, wholeRequests } = this.options;
    const readLoads = () => this.readLoads(service);
    const readCountAgeMs = wholeRequests?.readCountAgeMs ?? (() => COUNT_AGE_MS);
    const room = new FleetRoom({ timer, random, readLoads, countVms, readCountAgeMs });
    const queue = this.createQueue(room);
    this.engines.set(service, queue);
    return queue;
  }

  private findPaced(service: string): PacedService {
    const known = this.paced.get(service);
    if (known !== undefined) return known;
    const { timer, random, countVms, directory, isHealthy, log } = this.options;
    log.write('pace', { service });
    const room = new PacedRoom({
      timer,
      random,
      countVms,
      isHealthy,
      listWorkers: () => directory.workersOf(service).map(({ id }) => id),
      readFreeShare: () => {
        const { slots, online } = this.sumLoads(service);
        return slots === 0 ? 1 : 1 - online / slots;
      },
    });
    const paced = { room, queue: this.createQueue(room) };
    this.paced.set(service, paced);
    return paced;
  }

  private createQueue(room: Room): ServiceQueue {
    const { timer, random } = this.options;
    return new ServiceQueue({
      timer,
      random,
      room,
      inFlight: this.inFlight,
      createFault: (request, refusal) => this.createFault(request, refusal),
      onStart: (request, waitedMs) => this.recordStart(request, waitedMs),
      onRelease: (queue) => this.updateAfterRelease(queue),
    });
  }

  /** If the bound was reached, the place goes to the service whose first request is first in order. */
  private updateAfterRelease(queue: ServiceQueue): void {
    if (this.inFlight.free > 1) {
      queue.update();
      return;
    }
    [...this.engines.values()]
      .filter(({ size }) => size > 0)
      .toSorted((a, b) => a.compareFirst(b))
      .forEach((waiting) => waiting.update());
  }

  private readLoads(service: string): WorkerLoad[] {
    const { directory, loads } = this.options;
    return directory.workersOf(service).map(({ id }) => loads.get(id));
  }

  private sumLoads(service: string): FleetTotals {
    return this.readLoads(service).reduce(
      (sum, load) => ({ slots: sum.slots + load.slots, online: sum.online + load.online }),
      { slots: 0, online: 0 },
    );
  }

  private recordStart({ requestId, service, team }: AdmissionRequest, waitedMs: number): void {
    const { log, metrics } = this.options;
    log.write('start', {
      request: requestId,
      service,
      team: team?.name,
      waitedMs: Math.round(waitedMs),
      ...this.sumLoads(service),
    });
    metrics.timing('admission_queue.waited', waitedMs, { service });
  }

  private createFault(request: AdmissionRequest, refusal: Refusal): Fault {
    const { timer, log, metrics, wholeRequests } = this.options;
    const { requestId, service, team, arrivedAt } = request;
    const { reason, waiting } = refusal;
    const retryAfterMs = wholeRequests?.drawRetryMs() ?? refusal.retryAfterMs;
    log.write('refuse', {
      request: requestId,
      service,
      team: team?.name,
      reason,
      waiting,
      ageMs: Math.round(timer.now() - arrivedAt),
      retryAfterMs,
      ...this.sumLoads(service),
    });
    metrics.increment('admission_queue.refused', { service, reason });
    return {
      code: FaultCode.Overloaded,
      outcome: Outcome.NotRun,
      step: 'admission-queue',
      message: `service ${service} has no free capacity`,
      retryAfterMs,
    };
  }
}
