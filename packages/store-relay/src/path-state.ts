/** Health of this VM's own path to the store; pure, times are passed in. */

/** Failures in a row that cost the path its trust; a single one may be a lost answer. */
const FAILURES_TO_LOSE = 2;

/** Time after which a lost path is tried again, in milliseconds. */
const RETRY_AFTER_MS = 400;

export class PathState {
  private failures = 0;

  private triedAt = -Infinity;

  /** True while calls go directly. */
  get isTrusted(): boolean {
    return this.failures < FAILURES_TO_LOSE;
  }

  /** True where this call is to try the direct path, whether trusted or not. */
  mayTry(now: number): boolean {
    if (this.isTrusted) return true;
    if (now - this.triedAt < RETRY_AFTER_MS) return false;
    this.triedAt = now;
    return true;
  }

  recordSuccess(): void {
    this.failures = 0;
  }

  recordFailure(now: number): void {
    this.failures += 1;
    this.triedAt = now;
  }
}
