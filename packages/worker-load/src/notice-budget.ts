/** Bound on notices that are sent at once. */

/**
 * Notices per second that a VM sends at once in the long run. Begins are always sent; above this rate
 * ends wait for the next notice to the same owner. At 20 requests/s, ends sent at once would double
 * the notices, against a target of 6 KB/s for all control traffic of a VM.
 */
const NOTICES_PER_SECOND = 20;

const BURST = 40;

/** Counts notices against the bound; times are passed in. */
export class NoticeBudget {
  private saved: number;

  private refilledAt = 0;

  constructor(
    private readonly perSecond = NOTICES_PER_SECOND,
    private readonly burst = BURST,
  ) {
    this.saved = burst;
  }

  /** Counts a notice that has to be sent in any case. */
  spend(now: number): void {
    this.refill(now);
    this.saved = Math.max(0, this.saved - 1);
  }

  /** Counts a notice that can wait; returns false when it should. */
  trySpend(now: number): boolean {
    this.refill(now);
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }

  private refill(now: number): void {
    const gained = ((now - this.refilledAt) / 1000) * this.perSecond;
    this.saved = Math.min(this.burst, this.saved + gained);
    this.refilledAt = now;
  }
}

/** Bounds the warnings of one owner in the long run; the burst covers today's fleets. */
const WARNINGS_PER_SECOND = 10;
const WARNING_BURST = 200;

export const createWarningBudget = (): NoticeBudget =>
  new NoticeBudget(WARNINGS_PER_SECOND, WARNING_BURST);
