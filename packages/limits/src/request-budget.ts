/** Bounds the share requests of one entry VM, so that many small teams stay within its traffic budget. */

/**
 * A share request with its answer takes about 300 B. At the design load of 20 caller requests per
 * second and VM this is about 3 KB/s of the 6 KB/s that all control traffic may use. The budget also
 * grows with caller requests, because a fixed one would refuse teams on a VM with more of them.
 */
const REQUESTS_PER_SECOND = 5;
const TOKENS_PER_CALLER_REQUEST = 0.25;

const REQUEST_BURST = 20;

/** Each additional team in a request adds about 40 B, including its entry in the answer. */
const COST_PER_EXTRA_TEAM = 0.15;

export class RequestBudget {
  private tokens = REQUEST_BURST;

  private refilledAt = 0;

  countCallerRequest(): void {
    this.tokens = Math.min(REQUEST_BURST, this.tokens + TOKENS_PER_CALLER_REQUEST);
  }

  /** Spends the cost of one request for the given number of teams; false if the budget is used up. */
  trySpend(teams: number, now: number): boolean {
    const refilled = ((now - this.refilledAt) * REQUESTS_PER_SECOND) / 1000;
    this.tokens = Math.min(REQUEST_BURST, this.tokens + refilled);
    this.refilledAt = now;
    // The balance may become negative, because a large request could never be paid in advance.
    if (this.tokens < 1) return false;
    this.tokens -= 1 + COST_PER_EXTRA_TEAM * (teams - 1);
    return true;
  }
}
