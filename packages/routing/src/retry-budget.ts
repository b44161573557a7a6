/** Bound on retries relative to requests. */

/** Retries allowed per request. */
const RETRY_RATIO = 0.1;

/** Allows all streams of one lost worker to resume at once. */
const MAX_AVAILABLE_RETRIES = 50;

/** Retries are at most 10% of requests, with a reserve for bursts. */
export class RetryBudget {
  private available = MAX_AVAILABLE_RETRIES;

  addRequest(): void {
    this.available = Math.min(MAX_AVAILABLE_RETRIES, this.available + RETRY_RATIO);
  }

  /** Takes one retry, or returns false when the budget is used up. */
  takeRetry(): boolean {
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }
}
