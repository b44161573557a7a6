/**
 * Keeps batch items away from workers that do not run them. The pattern is a worker that has gone dark:
 * it seems to have the most free slots, so that without a growing pause each waiting item would be
 * sent there in turn and time out.
 */

/** Pause after a refusal, which a full queue explains. */
const REFUSED_MS = 400;

/** First pause after a lost run; doubles with each further one. */
const FIRST_LOST_MS = 1500;

const LONGEST_LOST_MS = 12_000;

interface Avoided {
  until: number;
  losses: number;
}

export class WorkerAvoidance {
  private readonly workers = new Map<string, Avoided>();

  isAvoided(workerId: string, now: number): boolean {
    return (this.workers.get(workerId)?.until ?? -Infinity) > now;
  }

  recordSuccess(workerId: string): void {
    this.workers.delete(workerId);
  }

  recordRefusal(workerId: string, now: number): void {
    const { until = -Infinity, losses = 0 } = this.workers.get(workerId) ?? {};
    this.workers.set(workerId, { until: Math.max(until, now + REFUSED_MS), losses });
  }

  /** Notes a run that broke off; several that end together count once. */
  recordLoss(workerId: string, now: number): void {
    const { until = -Infinity, losses = 0 } = this.workers.get(workerId) ?? {};
    if (until > now + REFUSED_MS) return;
    const pauseMs = Math.min(LONGEST_LOST_MS, FIRST_LOST_MS * 2 ** losses);
    this.workers.set(workerId, { until: now + pauseMs, losses: losses + 1 });
  }
}
