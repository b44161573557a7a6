/**
 * Pace at which one VM sends to a service that refuses requests when full. Refusals slow it down, and ends
 * of requests speed it up. Callers pass in the time.
 */

/** Time without such a refusal after which the service is no longer paced. */
const ACTIVE_MS = 30_000;

/**
 * Factors of the interval at a refusal and at the end of a request. A growth of 2.5 saved 10% of the sends
 * but left more requests late.
 */
const GROWTH = 1.5;
const DECAY = 0.7;

/**
 * Longest interval as a share of the time in which this VM gets a slot if all VMs share the service
 * equally. With intervals longer than about half of that time, slots stayed idle between sends.
 */
const FAIR_INTERVAL_SHARE = 0.3;

/** Bounds the interval from below in small fleets, in units of the time between two ends at a worker. */
const MIN_LONGEST_INTERVAL = 4;

/** Share of the objective that is taken for the work time until a request has ended. */
const ASSUMED_WORK_SHARE = 0.15;

/** Weight of the newest value in the mean work time. */
const WORK_WEIGHT = 0.2;

/** Size of the service, and a random number in [0, 1) that keeps VMs from sending at the same time. */
export interface PaceInput {
  slots: number;
  workers: number;
  vms: number;
  objectiveMs: number;
  draw: number;
}

export class RefusalPace {
  private refusedAt = -Infinity;

  private sendAt = -Infinity;

  private intervalMs = 0;

  private meanWorkMs: number | undefined;

  isActive(now: number): boolean {
    return this.msSinceRefusal(now) < ACTIVE_MS;
  }

  msSinceRefusal(now: number): number {
    return now - this.refusedAt;
  }

  /** Time of the next send of a request that waits. */
  get nextSendAt(): number {
    return this.sendAt;
  }

  /** Mean time of a request at a worker; undefined until one has ended. */
  get workMs(): number | undefined {
    return this.meanWorkMs;
  }

  recordRefusal({ slots, workers, vms, objectiveMs, draw }: PaceInput, now: number): void {
    const workMs = this.meanWorkMs ?? objectiveMs * ASSUMED_WORK_SHARE;
    const shortestMs = workMs / Math.max(1, slots);
    const fairShare = (FAIR_INTERVAL_SHARE * vms) / Math.max(1, workers);
    const longestMs = shortestMs * Math.max(MIN_LONGEST_INTERVAL, fairShare);
    this.refusedAt = now;
    this.intervalMs = Math.min(longestMs, Math.max(shortestMs, this.intervalMs * GROWTH));
    this.recordSend(draw, now);
  }

  /** Delays the next send by the interval, with jitter of half of it. */
  recordSend(draw: number, now: number): void {
    this.sendAt = now + this.intervalMs * (0.5 + draw);
  }

  /** Records that a worker has ended a request of this VM, so that a slot is free. */
  recordEnd(durationMs: number, now: number): void {
    const mean = this.meanWorkMs ?? durationMs;
    this.meanWorkMs = mean + (durationMs - mean) * WORK_WEIGHT;
    this.intervalMs *= DECAY;
    this.sendAt = now;
  }
}
