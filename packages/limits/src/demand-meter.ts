/** Requests per second of one team, measured over few requests or a short time, whichever is longer. */

/** Requests over which a low rate is measured; fewer make shares follow chance. */
const WINDOW_REQUESTS = 16;

/** Shortest window, so that requests that arrive together do not count as a high rate. */
const MIN_WINDOW_MS = 250;

/** Requests in the shortest window that make a surge certain enough to forget the past. */
const MIN_SURGE_REQUESTS = 4;

const SURGE_FACTOR = 2;

/** Window that a new meter starts with, so that a first request does not count as a high rate. */
const INITIAL_WINDOW_MS = 2000;

/** Silence over this many expected requests means that the rate has fallen; chance alone rarely does that. */
const RATE_DROP_MISSED_REQUESTS = 6;

/** Adapts its window to the rate: 16 requests, but at least 250 ms. */
export class DemandMeter {
  private count = 0;

  private windowStartedAt: number;

  /** Requests of about the last 250 ms, fading out. */
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

  /** A single request tells nothing about a rate, so it counts as none. */
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
