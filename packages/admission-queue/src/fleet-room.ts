/** Room of engines: the free slots of the service across the fleet, with an allowance for their queues. */
import type { WorkerLoad } from '@jujubelanding/interfaces';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { RunningMean } from './running-mean.js';
import type { Room, RoomRequest } from './types.js';

/** Requests per slot from which workers count as full; counts lag, and a surplus keeps workers busy. */
const MAX_UTILIZATION = 1.25;

/**
 * Part of the allowance that is left to each higher priority. Requests of different priorities wait at
 * different VMs, which only share the counts. All slots stay in use.
 */
const RESERVE_PER_PRIORITY = 0.05;

/** With the soft share, this leaves requests of all priorities the slots themselves. */
const MAX_RESERVE = 0.15;

/** A team above its share leaves as much room to the others as the next lower priority does. */
const EXCESS_STEPS = 1;

/**
 * Share of the slots below the limit in which requests are admitted with a falling probability. With a hard
 * limit, all VMs admitted all requests or none for the age of the counts.
 */
const SOFT_SHARE = 0.1;

/** Interval at which the counts are read again while requests wait. */
export const CHECK_MS = 20;

/** Usual age of the counts of other VMs. */
export const COUNT_AGE_MS = 100;

/** Room counts as likely to become available if a request of this VM ended within this time. */
const PROSPECT_MS = 5000;

/** Returns the requests per slot below which a request like this one may start. */
const getMaxUtilization = ({ priority, isAboveShare }: RoomRequest): number => {
  const steps = priority + (isAboveShare ? EXCESS_STEPS : 0);
  return MAX_UTILIZATION - Math.min(MAX_RESERVE, steps * RESERVE_PER_PRIORITY);
};

export interface FleetRoomOptions {
  timer: Timer;
  random: Random;
  /** Loads of the workers of the service. */
  readLoads: () => readonly WorkerLoad[];
  countVms: () => number;
  /** Age of the counts of other VMs. */
  readCountAgeMs: () => number;
}

export class FleetRoom implements Room {
  readonly allowsLate = false;

  readonly nextCheckMs = CHECK_MS;

  private endedAt = -Infinity;

  private readonly durationMs = new RunningMean();

  private readonly firstEventMs = new RunningMean();

  constructor(private readonly options: FleetRoomOptions) {}

  /** The objective of an engine ends with the first event. */
  get workMs(): number {
    return this.firstEventMs.value ?? 0;
  }

  /** Time between two slots that this VM gets if all VMs share the engines equally. */
  get startIntervalMs(): number | undefined {
    const { timer, countVms } = this.options;
    const { value: durationMs } = this.durationMs;
    const isRecent = timer.now() - this.endedAt < PROSPECT_MS;
    if (durationMs === undefined || !isRecent) return undefined;
    return (durationMs * countVms()) / Math.max(1, this.sum().slots);
  }

  /**
   * A new request that finds no other one at this VM starts if there is room, because each VM has few
   * requests. Those that wait share the room with those of other VMs, which see the same counts until these
   * change.
   */
  roomOf(request: RoomRequest): number {
    const { isAlone, hasWaited } = request;
    const { countVms, random, readCountAgeMs } = this.options;
    const { slots, online } = this.sum();
    // Without workers capacity is not checked: routing reports the exact error.
    if (slots === 0) return Infinity;
    const room = Math.max(0, slots * getMaxUtilization(request) - online);
    if (isAlone && !hasWaited) return random.next() * SOFT_SHARE * slots < room ? 1 : 0;
    const ageMs = Math.max(CHECK_MS, readCountAgeMs());
    const share = (room * CHECK_MS) / ageMs / Math.max(1, countVms());
    return Math.floor(share) + (random.next() < share % 1 ? 1 : 0);
  }

  /** As many requests as exceed the limit have to end before, other VMs' requests not counted. */
  fullForMs(request: RoomRequest): number {
    const { startIntervalMs } = this;
    if (startIntervalMs === undefined) return 0;
    const { slots, online } = this.sum();
    const excess = online - slots * getMaxUtilization(request);
    if (slots === 0 || excess <= 0) return 0;
    // All requests in progress end within their mean duration, so more per time do not.
    const endsPerMs = online / this.durationMs.value!;
    return Math.max(0, excess / endsPerMs - this.options.readCountAgeMs());
  }

  recordStart(): void {}

  recordFirstEvent(elapsedMs: number): void {
    this.firstEventMs.add(elapsedMs);
  }

  recordEnd(durationMs: number): void {
    this.durationMs.add(durationMs);
    this.endedAt = this.options.timer.now();
  }

  private sum(): { slots: number; online: number } {
    const loads = this.options.readLoads();
    return {
      slots: loads.reduce((sum, load) => sum + load.slots, 0),
      online: loads.reduce((sum, load) => sum + load.online, 0),
    };
  }

  chooseAvoided(): undefined {}
}
