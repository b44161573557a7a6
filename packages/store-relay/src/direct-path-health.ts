/** Health of this VM's direct path to the store. Times are passed in, so the class needs no timer. */

/** Consecutive failures after which the path counts as unhealthy; a single one may be a lost reply. */
const UNHEALTHY_AFTER_FAILURES = 2;

/** Interval at which an unhealthy path is tried again, in milliseconds. */
const RETRY_INTERVAL_MS = 400;

export class DirectPathHealth {
  private failures = 0;

  private lastAttemptAt = -Infinity;

  /** True while calls are sent directly. */
  get isHealthy(): boolean {
    return this.failures < UNHEALTHY_AFTER_FAILURES;
  }

  /**
   * True if this call should use the direct path: always while it is healthy, otherwise once per
   * interval.
   */
  shouldTry(now: number): boolean {
    if (this.isHealthy) return true;
    if (now - this.lastAttemptAt < RETRY_INTERVAL_MS) return false;
    this.lastAttemptAt = now;
    return true;
  }

  recordSuccess(): void {
    this.failures = 0;
  }

  recordFailure(now: number): void {
    this.failures += 1;
    this.lastAttemptAt = now;
  }
}
