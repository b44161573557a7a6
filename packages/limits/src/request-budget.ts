/** Bound on what an entry VM asks for, so that small limits of many teams stay within its budget. */

/**
 * With answers about 300 B each: near 3 KB/s of the 6 KB/s for all control at the design's 20 requests
 * of callers per second and VM. A fixed bound would refuse teams on a VM with more.
 */
const REQUESTS_PER_SECOND = 5;
const TOKENS_PER_CALLER_REQUEST = 0.25;

const REQUEST_BURST = 20;

/** A further team in a request needs about 40 B with its answer. */
const COST_PER_EXTRA_TEAM = 0.15;

export class RequestBudget {
  private tokens = REQUEST_BURST;

  private refilledAt = 0;

  countCallerRequest(): void {
    this.tokens = Math.min(REQUEST_BURST, this.tokens + TOKENS_PER_CALLER_REQUEST);
  }

  /** Spends what one request for a number of teams costs. */
  trySpend(teams: number, now: number): boolean {
    const refilled = ((now - this.refilledAt) * REQUESTS_PER_SECOND) / 1000;
    this.tokens = Math.min(REQUEST_BURST, this.tokens + refilled);
    this.refilledAt = now;
    // A large request goes out on credit, or it never would.
    if (this.tokens < 1) return false;
    this.tokens -= 1 + COST_PER_EXTRA_TEAM * (teams - 1);
    return true;
  }
}
