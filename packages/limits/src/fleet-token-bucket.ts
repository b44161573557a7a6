/** Fleet-wide token bucket of a team, based on the usage known to the owner. */

/** Requests beyond the limit are tracked up to this multiple of the burst. */
const MAX_DEBT_BURSTS = 10;

const MS_PER_SECOND = 1000;

export class FleetTokenBucket {
  /** Available tokens; negative if more requests were admitted than the limit allows. */
  private tokens: number | undefined;

  private burst = 0;

  private refilledAt = 0;

  /** Tokens that a full bucket discarded while usage had not been reported yet. */
  private overflow = 0;

  /** Adds tokens for the time since the last call, at the limit's rate less the expected usage. */
  refill(perSecond: number, burst: number, now: number): void {
    const refilled = ((now - this.refilledAt) * perSecond) / MS_PER_SECOND;
    this.burst = burst;
    const tokens = (this.tokens ?? burst) + refilled;
    this.overflow = tokens < burst ? 0 : this.overflow + tokens - burst;
    this.tokens = this.clamp(tokens);
    this.refilledAt = now;
  }

  /**
   * Accounts for usage that was reported late; a negative count undoes expected usage that did not
   * happen. Up to `maxFromOverflow` tokens, which is what the limit allowed since the last report, are
   * taken from the overflow first.
   */
  correct(count: number, maxFromOverflow: number): void {
    const fromOverflow = Math.max(0, Math.min(count, maxFromOverflow, this.overflow));
    this.overflow -= fromOverflow;
    this.take(count - fromOverflow);
  }

  take(count: number): void {
    this.tokens = this.clamp(this.available() - count);
  }

  available(): number {
    return this.tokens ?? this.burst;
  }

  /** Returns the number of requests admitted beyond the limit. */
  missing(): number {
    return Math.max(0, -this.available());
  }

  isFull(): boolean {
    return this.available() >= this.burst;
  }

  private clamp(tokens: number): number {
    return Math.max(-MAX_DEBT_BURSTS * this.burst, Math.min(this.burst, tokens));
  }
}
