/** Spreads the retries of refused requests over the time in which the backlog of this VM drains. */

/** Interval between starts while none was observed. */
const DEFAULT_INTERVAL_MS = 50;

/** Longest interval that counts; longer ones are pauses without requests. */
const MAX_INTERVAL_MS = 500;

const INTERVAL_WEIGHT = 0.2;

const MIN_RETRY_MS = 200;

/** Waves of load last a few seconds, so a later retry would find the service idle. */
const MAX_RETRY_MS = 4000;

export class RetrySpread {
  private startedAt: number | undefined;

  private intervalMs = DEFAULT_INTERVAL_MS;

  /** Time at which the last refused request is expected to return. */
  private lastReturnAt = -Infinity;

  recordStart(now: number): void {
    if (this.startedAt !== undefined) {
      const elapsedMs = Math.min(MAX_INTERVAL_MS, now - this.startedAt);
      this.intervalMs += (elapsedMs - this.intervalMs) * INTERVAL_WEIGHT;
    }
    this.startedAt = now;
  }

  /** Returns the retry delay of a refused request, behind the requests that wait and the refused ones. */
  next(waiting: number, draw: number, now: number): number {
    const drainedAt = now + MIN_RETRY_MS + waiting * this.intervalMs;
    const latest = now + MAX_RETRY_MS;
    this.lastReturnAt = Math.min(latest, Math.max(drainedAt, this.lastReturnAt + this.intervalMs));
    return Math.round(this.lastReturnAt - now + draw * Math.max(MIN_RETRY_MS, this.intervalMs));
  }
}
