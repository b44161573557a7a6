/** Rate limits on notices and totals that are sent at once instead of at the next interval. */

/**
 * Sustained rate of notices that a VM sends at once. Begins are always sent; above this rate, ends
 * wait for the next notice to the same owner. At 20 requests/s, ends sent at once would double the
 * number of notices, and the target for all control traffic of a VM is 6 KB/s.
 */
const NOTICES_PER_SECOND = 20;

const NOTICE_BURST = 40;

/** Token bucket, by default for notices. Callers pass in the time. */
export class NoticeRateLimiter {
  private available: number;

  private refilledAt = 0;

  constructor(
    private readonly perSecond = NOTICES_PER_SECOND,
    private readonly burst = NOTICE_BURST,
  ) {
    this.available = burst;
  }

  /** Counts a notice that is sent regardless of the limit. */
  consume(now: number): void {
    this.refill(now);
    this.available = Math.max(0, this.available - 1);
  }

  /** Counts a notice that can be delayed; returns false if it has to be. */
  tryConsume(now: number): boolean {
    this.refill(now);
    if (this.available < 1) return false;
    this.available -= 1;
    return true;
  }

  private refill(now: number): void {
    const added = ((now - this.refilledAt) / 1000) * this.perSecond;
    this.available = Math.min(this.burst, this.available + added);
    this.refilledAt = now;
  }
}

/** Sustained rate of urgent totals that one owner sends; the burst covers current fleet sizes. */
const URGENT_TOTALS_PER_SECOND = 10;
const URGENT_TOTALS_BURST = 200;

export const createUrgentTotalsRateLimiter = (): NoticeRateLimiter =>
  new NoticeRateLimiter(URGENT_TOTALS_PER_SECOND, URGENT_TOTALS_BURST);
