/**
 * A single token bucket for the whole fleet, as the reference for limits that are divided into
 * shares.
 */

export class CentralTokenBucket {
  private tokens: number;

  private refilledAt = 0;

  constructor(
    private readonly tokensPerSecond: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  admit(now: number): boolean {
    const isAdmitted = this.refill(now) >= 1;
    if (isAdmitted) this.tokens -= 1;
    return isAdmitted;
  }

  /** Takes a token even if none is left; returns by how many requests the limit is exceeded. */
  forceAdmit(now: number): number {
    this.tokens = this.refill(now) - 1;
    return Math.max(0, -this.tokens);
  }

  private refill(now: number): number {
    const refilled = ((now - this.refilledAt) / 1000) * this.tokensPerSecond;
    this.tokens = Math.min(this.burst, this.tokens + refilled);
    this.refilledAt = now;
    return this.tokens;
  }
}
