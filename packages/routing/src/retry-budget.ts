/** Limits retries relative to requests. */

/** Retries allowed per request. */
const RETRY_RATIO = 0.1;

/** Burst size; allows all streams of one failed worker to resume at once. */
const MAX_AVAILABLE_RETRIES = 50;

/** Token bucket that limits retries to 10% of requests, with a reserve for bursts. */
export class RetryBudget {
  private available = MAX_AVAILABLE_RETRIES;

  addRequest(): void {
    this.available = Math.min(MAX_AVAILABLE_RETRIES, this.available + RETRY_RATIO);
  }

  /** Consumes one retry; returns false when the budget is exhausted. */
  takeRetry(): boolean {
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }
}
