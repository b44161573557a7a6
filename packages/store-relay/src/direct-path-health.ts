/** Health of this VM's own path to the store; pure, times are passed in. */

/** Failures in a row that cost the path its trust; a single one may be a lost answer. */
const UNHEALTHY_AFTER_FAILURES = 2;

/** Time after which a lost path is tried again, in milliseconds. */
const RETRY_INTERVAL_MS = 400;

export class DirectPathHealth {
  private failures = 0;

  private lastAttemptAt = -Infinity;

  /** True while calls go directly. */
  get isHealthy(): boolean {
    return this.failures < UNHEALTHY_AFTER_FAILURES;
  }

  /** True where this call is to try the direct path, whether trusted or not. */
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
