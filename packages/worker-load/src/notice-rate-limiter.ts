/** Bound on notices that are sent at once. */

/**
 * Notices per second that a VM sends at once in the long run. Begins are always sent; above this rate
 * ends wait for the next notice to the same owner. At 20 requests/s, ends sent at once would double
 * the notices, against a target of 6 KB/s for all control traffic of a VM.
 */
const NOTICES_PER_SECOND = 20;

const NOTICE_BURST = 40;

/** Counts notices against the bound; times are passed in. */
export class NoticeRateLimiter {
  private available: number;

  private refilledAt = 0;

  constructor(
    private readonly perSecond = NOTICES_PER_SECOND,
    private readonly burst = NOTICE_BURST,
  ) {
    this.available = burst;
  }

  /** Counts a notice that has to be sent in any case. */
  consume(now: number): void {
    this.refill(now);
    this.available = Math.max(0, this.available - 1);
  }

  /** Counts a notice that can wait; returns false when it should. */
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

/** Bounds the warnings of one owner in the long run; the burst covers today's fleets. */
const URGENT_TOTALS_PER_SECOND = 10;
const URGENT_TOTALS_BURST = 200;

export const createUrgentTotalsRateLimiter = (): NoticeRateLimiter =>
  new NoticeRateLimiter(URGENT_TOTALS_PER_SECOND, URGENT_TOTALS_BURST);
