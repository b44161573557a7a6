/** Bound on retries relative to requests. */

/** Retries allowed per request. */
const RETRY_SHARE = 0.1;

/** Allows all streams of one lost worker to resume at once. */
const MAX_SAVED_RETRIES = 50;

/** Retries are at most 10% of requests, with a reserve for bursts. */
export class RetryBudget {
  private saved = MAX_SAVED_RETRIES;

  addRequest(): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + RETRY_SHARE);
  }

  /** Takes one retry, or returns false when the budget is used up. */
  takeRetry(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
