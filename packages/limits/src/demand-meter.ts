/** Estimates the request rate of one team over a window bounded by request count and duration. */

/** Number of requests over which a low rate is measured; with fewer, shares follow random variation. */
const WINDOW_REQUESTS = 16;

/** Shortest window; keeps requests that arrive together from counting as a high rate. */
const MIN_WINDOW_MS = 250;

/** Requests within the shortest window from which a surge is assumed and older requests are discarded. */
const MIN_SURGE_REQUESTS = 4;

/** The recent rate must exceed the measured one by this factor to count as a surge. */
const SURGE_FACTOR = 2;

/** Initial window length of a new meter; keeps the first request from counting as a high rate. */
const INITIAL_WINDOW_MS = 2000;

/** A gap in which this many requests were expected means that the rate has dropped; it is rarely random. */
const RATE_DROP_MISSED_REQUESTS = 6;

/** Measures over a window of 16 requests, but at least 250 ms. */
export class DemandMeter {
  private count = 0;

  private windowStartedAt: number;

  /** Exponentially decaying count of requests, with a time constant of 250 ms. */
  private recentCount = 0;

  private lastRequestAt: number;

  constructor(now: number) {
    this.windowStartedAt = now - INITIAL_WINDOW_MS;
    this.lastRequestAt = now;
  }

  record(now: number): void {
    this.restartAfterIdlePeriod(now);
    this.decayRecentCount(now);
    this.recentCount += 1;
    this.count += 1;
    const windowMs = now - this.windowStartedAt;
    const isSurge =
      this.recentCount >= MIN_SURGE_REQUESTS &&
      this.recentCount / MIN_WINDOW_MS > (SURGE_FACTOR * this.count) / Math.max(windowMs, 1);
    if (isSurge) {
      this.count = this.recentCount;
      this.windowStartedAt = now - MIN_WINDOW_MS;
    } else if (this.count >= WINDOW_REQUESTS && windowMs >= 2 * MIN_WINDOW_MS) {
      this.count /= 2;
      this.windowStartedAt = now - windowMs / 2;
    }
  }

  /** Returns the estimated rate; 0 for a single request, which does not determine a rate. */
  ratePerSecond(now: number): number {
    if (this.count <= 1) return 0;
    const idleMs = now - this.lastRequestAt;
    const previousRate =
      this.count / Math.max(MIN_WINDOW_MS, this.lastRequestAt - this.windowStartedAt);
    if (previousRate * idleMs > RATE_DROP_MISSED_REQUESTS) return 1000 / idleMs;
    return (this.count * 1000) / Math.max(MIN_WINDOW_MS, now - this.windowStartedAt);
  }

  private restartAfterIdlePeriod(now: number): void {
    const idleMs = now - this.lastRequestAt;
    const previousRate =
      this.count / Math.max(MIN_WINDOW_MS, this.lastRequestAt - this.windowStartedAt);
    if (previousRate * idleMs <= RATE_DROP_MISSED_REQUESTS) return;
    this.count = 0;
    this.windowStartedAt = this.lastRequestAt;
  }

  private decayRecentCount(now: number): void {
    this.recentCount *= Math.exp((this.lastRequestAt - now) / MIN_WINDOW_MS);
    this.lastRequestAt = now;
  }
}
