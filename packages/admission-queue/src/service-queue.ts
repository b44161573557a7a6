/** Requests of one service that wait at this VM. */
import type { Fault, Reply } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { FairCounters } from './fair-counters.js';
import type { InFlightBound } from './in-flight-bound.js';
import { decideQueue, orderQueue, type WaitingRequest } from './policy.js';
import { RetrySpread } from './retry-spread.js';
import { TeamShares } from './team-shares.js';
import { LATE_PRIORITY, type AdmissionRequest, type Room, type SendPermit } from './types.js';

/** Bounds the memory that waiting requests use. */
const MAX_WAITING = 256;

/** Team of requests without one. */
const NO_TEAM = '';

/** Added to the priority of requests of a team above its share; less than a step of priorities. */
const EXCESS_PRIORITY = 0.5;

/** Work times before the deadline after which a request that has missed its objective is refused. */
const LATE_MARGIN = 2;

export enum RefusalReason {
  NotInTime = 'not-in-time',
  QueueFull = 'queue-full',
  Cancelled = 'cancelled',
}

export interface Refusal {
  reason: RefusalReason;
  /** Number of other requests that wait. */
  waiting: number;
  retryAfterMs: number;
}

export interface ServiceQueueOptions {
  timer: Timer;
  random: Random;
  room: Room;
  /** Requests in progress of all services. */
  inFlight: InFlightBound;
  createFault: (request: AdmissionRequest, refusal: Refusal) => Fault;
  /** Called when a request starts that has waited. */
  onStart: (request: AdmissionRequest, waitedMs: number) => void;
  /** Called when a permit was released; has to update this queue. */
  onRelease: (queue: ServiceQueue) => void;
}

interface Entry extends WaitingRequest {
  request: AdmissionRequest;
  /** Worker that refused the request last. */
  refusedBy: string | undefined;
  enqueuedAt: number;
  hasWaited: boolean;
  /** Called when the caller no longer waits. */
  cancel: () => void;
  resolve: (result: Awaited<Reply<SendPermit>>) => void;
}

const describe = ({ team, priority, tokens, arrivedAt, objectiveMs }: AdmissionRequest) => ({
  team: team?.name ?? NO_TEAM,
  priority: team?.priority ?? priority,
  tokens,
  arrivedAt,
  objectiveMs,
  startBy: arrivedAt + objectiveMs,
  hasWaited: false,
});

export class ServiceQueue {
  private readonly entries = new Set<Entry>();

  private readonly counters = new FairCounters();

  private readonly shares = new TeamShares();

  private readonly retries = new RetrySpread();

  private check: Subscription | undefined;

  constructor(private readonly options: ServiceQueueOptions) {}

  get size(): number {
    return this.entries.size;
  }

  /** Returns a negative number if the first request of this queue goes before that of the other one. */
  compareFirst(other: ServiceQueue): number {
    const [first, second] = [this, other].map(({ entries }) => {
      const priority = Math.min(...[...entries].map((entry) => entry.priority));
      const arrivals = [...entries].map((entry) =>
        entry.priority === priority ? entry.arrivedAt : Infinity,
      );
      return { priority, arrivedAt: Math.min(...arrivals) };
    });
    return first!.priority - second!.priority || first!.arrivedAt - second!.arrivedAt;
  }

  /** Resolves with a permit to send the request once, or with a fault of outcome `not-run`. */
  admit(request: AdmissionRequest, refusedBy?: string): Reply<SendPermit> {
    return new Promise((resolve) => {
      const entry: Entry = {
        ...describe(request),
        request,
        refusedBy,
        enqueuedAt: this.options.timer.now(),
        cancel: () => this.refuse(entry, RefusalReason.Cancelled),
        resolve,
      };
      this.counters.activate(entry.team, new Set([...this.entries].map(({ team }) => team)));
      this.entries.add(entry);
      request.signal.addEventListener('abort', entry.cancel, { once: true });
      if (request.signal.aborted) entry.cancel();
      if (this.entries.size > MAX_WAITING) this.refuseLast();
      this.update();
    });
  }

  /** Starts and refuses requests as far as the time and the room call for it. */
  update(): void {
    this.refuseByStop();
    const { timer, room, inFlight } = this.options;
    const isAlone = this.entries.size === 1;
    const decision = decideQueue({
      waiting: [...this.entries].map((entry) => this.refresh(entry)),
      roomOf: (entry) => Math.min(inFlight.free, room.roomOf(this.toRoomRequest(entry, isAlone))),
      fullForMs: (entry) => room.fullForMs(this.toRoomRequest(entry, isAlone)),
      now: timer.now(),
      startIntervalMs: this.readStartIntervalMs(),
      served: this.counters.served,
    });
    decision.start.forEach((entry) => this.start(entry));
    decision.refuse.forEach((entry) => this.refuse(entry, RefusalReason.NotInTime));
    for (const entry of this.entries) entry.hasWaited = true;
    this.scheduleCheck();
  }

  private toRoomRequest({ team, priority, hasWaited, refusedBy }: Entry, isAlone: boolean) {
    return {
      priority: Math.floor(priority),
      isAlone,
      hasWaited,
      wasRefused: refusedBy !== undefined,
      isAboveShare: this.shares.isAbove(team),
    };
  }

  private readStartIntervalMs(): number | undefined {
    const { room, inFlight } = this.options;
    const { startIntervalMs } = room;
    const { endIntervalMs } = inFlight;
    if (inFlight.free > 0 || endIntervalMs === undefined) return startIntervalMs;
    return Math.max(endIntervalMs, startIntervalMs ?? 0);
  }

  /** Updates what depends on the time and on the work time of the service. */
  private refresh(entry: Entry): Entry {
    const { timer, room } = this.options;
    const { request } = entry;
    const neededMs = this.needsTimeLeft(entry) ? room.workMs : 0;
    const inTimeBy = Math.min(request.arrivedAt + request.objectiveMs, request.deadline) - neededMs;
    const isLate = room.allowsLate && timer.now() > inTimeBy;
    const lateBy = Math.max(inTimeBy, request.deadline - LATE_MARGIN * room.workMs);
    const priority = request.team?.priority ?? request.priority;
    // Behind those of the same priority that have room when a team above its share has none.
    const excess = this.shares.isAbove(entry.team) ? EXCESS_PRIORITY : 0;
    return Object.assign(entry, {
      startBy: room.allowsLate ? lateBy : inTimeBy,
      priority: priority + excess + (isLate ? LATE_PRIORITY : 0),
    });
  }

  /**
   * True if a request must start early enough to meet its objective. Requests to engines that go before
   * others, by priority and because their team is within its share, may start until their objective: with
   * less time to wait, more of them were refused, and others took the room.
   */
  private needsTimeLeft({ request, team }: Entry): boolean {
    if (this.options.room.allowsLate || this.shares.isAbove(team)) return true;
    return !this.shares.isHighest(request.team?.priority ?? request.priority);
  }

  private start(entry: Entry): void {
    const { timer, room, inFlight, onStart, onRelease } = this.options;
    this.remove(entry);
    this.counters.charge(entry.team, entry.tokens);
    const avoided = room.chooseAvoided(entry.refusedBy);
    room.recordStart();
    inFlight.recordStart();
    const startedAt = timer.now();
    const { team, priority } = entry.request;
    this.shares.record(entry.team, team?.priority ?? priority, entry.tokens, startedAt);
    this.retries.recordStart(startedAt);
    if (entry.hasWaited) onStart(entry.request, startedAt - entry.enqueuedAt);
    let hasEvent = false;
    const recordFirstEvent = (): void => {
      if (!hasEvent) room.recordFirstEvent(timer.now() - startedAt);
      hasEvent = true;
    };
    let isHeld = true;
    const release = (workerId?: string, isAnswered = workerId !== undefined): void => {
      if (!isHeld) return;
      isHeld = false;
      inFlight.recordEnd(timer.now() - startedAt);
      if (isAnswered) room.recordEnd(timer.now() - startedAt, workerId);
      onRelease(this);
    };
    entry.resolve(ok({ avoided, recordFirstEvent, release }));
  }

  /** Refuses the request that would start last. */
  private refuseLast(): void {
    const entries = [...this.entries].map((entry) => this.refresh(entry));
    const last = orderQueue(entries, this.counters.served).at(-1);
    if (last !== undefined) this.refuse(last, RefusalReason.QueueFull);
  }

  private refuse(entry: Entry, reason: RefusalReason): void {
    if (!this.entries.has(entry)) return;
    this.remove(entry);
    entry.resolve(err(this.createFault(entry.request, reason)));
  }

  private refuseByStop(): void {
    for (const entry of [...this.entries]) {
      const fault = entry.request.refuseByStop();
      if (fault !== undefined) {
        this.remove(entry);
        entry.resolve(err(fault));
      }
    }
  }

  private remove(entry: Entry): void {
    this.entries.delete(entry);
    entry.request.signal.removeEventListener('abort', entry.cancel);
  }

  private createFault(request: AdmissionRequest, reason: RefusalReason): Fault {
    const { timer, random, createFault } = this.options;
    const waiting = this.entries.size;
    const retryAfterMs = this.retries.next(waiting, random.next(), timer.now());
    return createFault(request, { reason, waiting, retryAfterMs });
  }

  private scheduleCheck(): void {
    this.check?.cancel();
    this.check = undefined;
    if (this.entries.size === 0) {
      this.counters.clear();
      return;
    }
    this.check = this.options.timer.after(this.options.room.nextCheckMs, () => this.update());
  }
}
