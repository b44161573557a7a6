/**
 * Keeps batch items away from workers that do not run them. The pattern is a worker that has gone dark:
 * it seems to have the most free slots, so that without a growing pause each waiting item would be
 * sent there in turn and time out.
 */

/** Pause after a refusal, which a full queue explains. */
const REFUSAL_BACKOFF_MS = 400;

/** First pause after a lost run; doubles with each further one. */
const INITIAL_LOSS_BACKOFF_MS = 1500;

const MAX_LOSS_BACKOFF_MS = 12_000;

interface BackoffState {
  until: number;
  losses: number;
}

export class WorkerBackoff {
  private readonly workers = new Map<string, BackoffState>();

  isBackedOff(workerId: string, now: number): boolean {
    return (this.workers.get(workerId)?.until ?? -Infinity) > now;
  }

  recordSuccess(workerId: string): void {
    this.workers.delete(workerId);
  }

  recordRefusal(workerId: string, now: number): void {
    const { until = -Infinity, losses = 0 } = this.workers.get(workerId) ?? {};
    this.workers.set(workerId, { until: Math.max(until, now + REFUSAL_BACKOFF_MS), losses });
  }

  /** Notes a run that broke off; several that end together count once. */
  recordLoss(workerId: string, now: number): void {
    const { until = -Infinity, losses = 0 } = this.workers.get(workerId) ?? {};
    if (until > now + REFUSAL_BACKOFF_MS) return;
    const backoffMs = Math.min(MAX_LOSS_BACKOFF_MS, INITIAL_LOSS_BACKOFF_MS * 2 ** losses);
    this.workers.set(workerId, { until: now + backoffMs, losses: losses + 1 });
  }
}
