/** Room of a plain service without a queue: this VM sends to it at a pace that refusals slow down. */
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { RefusalPace } from './refusal-pace.js';
import { LATE_PRIORITY, type RefusalLoad, type Room, type RoomRequest } from './types.js';

/** Bounds how often the queue is checked. */
const MIN_CHECK_MS = 5;

/** Tolerance of comparisons of times, in milliseconds. */
const EPSILON_MS = 1e-6;

/**
 * Time after a refusal in which workers are chosen at random. Counts are too old for short requests then:
 * all VMs chose the same worker, and sends were refused while others had free slots.
 */
const RANDOM_CHOICE_MS = 300;

/** Time for which a worker that ended a request of this VM is expected to still have a free slot. */
const FREED_MS = 2;

/**
 * Share of the slots that must be free for requests that have missed their objective. With 0.05, they took
 * the room of requests that could still meet it.
 */
const LATE_FREE_SHARE = 0.35;

export interface PacedRoomOptions {
  timer: Timer;
  random: Random;
  listWorkers: () => readonly string[];
  /** False for a worker that was ejected, or has to prove that it serves again. */
  isHealthy: (workerId: string) => boolean;
  /** Share of the slots of the service that are free according to the fleet's counts. */
  readFreeShare: () => number;
  countVms: () => number;
}

export class PacedRoom implements Room {
  readonly allowsLate = true;

  /** Work in progress ends soon, so room always becomes available; the order of starts is not predicted. */
  readonly startIntervalMs = 0;

  private readonly pace = new RefusalPace();

  private freed: { workerId: string; at: number } | undefined;

  constructor(private readonly options: PacedRoomOptions) {}

  get isActive(): boolean {
    return this.pace.isActive(this.options.timer.now());
  }

  get workMs(): number {
    return this.pace.workMs ?? 0;
  }

  get nextCheckMs(): number {
    return Math.max(MIN_CHECK_MS, this.pace.nextSendAt - this.options.timer.now());
  }

  recordRefusal({ slots }: RefusalLoad, objectiveMs: number): void {
    const { timer, random, listWorkers, countVms } = this.options;
    const workers = listWorkers().length;
    const input = { slots, workers, vms: countVms(), objectiveMs, draw: random.next() };
    this.pace.recordRefusal(input, timer.now());
  }

  /** A request that has not been refused yet is sent at once if no other one waits. */
  roomOf({ priority, isAlone, wasRefused }: RoomRequest): number {
    // Without workers nothing becomes free: routing reports the exact error.
    if (this.options.listWorkers().length === 0) return Infinity;
    if (isAlone && !wasRefused) return 1;
    if (this.options.timer.now() + EPSILON_MS < this.pace.nextSendAt) return 0;
    const isLate = priority >= LATE_PRIORITY;
    return isLate && this.options.readFreeShare() < LATE_FREE_SHARE ? 0 : 1;
  }

  fullForMs(): number {
    return 0;
  }

  recordStart(): void {
    this.pace.recordSend(this.options.random.next(), this.options.timer.now());
  }

  recordFirstEvent(): void {}

  recordEnd(durationMs: number, workerId: string | undefined): void {
    const now = this.options.timer.now();
    if (workerId !== undefined) this.freed = { workerId, at: now };
    this.pace.recordEnd(durationMs, now);
  }

  /** Leaves one worker: the one that has just ended a request of this VM, or a random one. */
  chooseAvoided(refusedBy: string | undefined): ReadonlySet<string> | undefined {
    const { timer, random, listWorkers, isHealthy } = this.options;
    const now = timer.now();
    const { freed } = this;
    this.freed = undefined;
    if (refusedBy === undefined && this.pace.msSinceRefusal(now) > RANDOM_CHOICE_MS) {
      return undefined;
    }
    const workers = listWorkers();
    const others = workers.filter((id) => id !== refusedBy && isHealthy(id));
    if (others.length === 0) return undefined;
    const isFree = freed !== undefined && now - freed.at < FREED_MS && isHealthy(freed.workerId);
    const chosen = isFree ? freed.workerId : random.pick(others);
    return new Set(workers.filter((id) => id !== chosen));
  }
}
