/** Token bucket of a team over the whole fleet, as far as the owner knows its use. */

/** Requests beyond the limit are remembered up to this many times the burst. */
const MAX_DEBT_BURSTS = 10;

const MS_PER_SECOND = 1000;

export class FleetTokenBucket {
  /** Tokens; below 0 when more was admitted than the limit allows. */
  private tokens: number | undefined;

  private burst = 0;

  private refilledAt = 0;

  /** Tokens that a full bucket did not take, because use was not reported yet. */
  private overflow = 0;

  /** Adds the rate, less the expected use, for the time since the last call. */
  refill(perSecond: number, burst: number, now: number): void {
    const refilled = ((now - this.refilledAt) * perSecond) / MS_PER_SECOND;
    this.burst = burst;
    const tokens = (this.tokens ?? burst) + refilled;
    this.overflow = tokens < burst ? 0 : this.overflow + tokens - burst;
    this.tokens = this.bound(tokens);
    this.refilledAt = now;
  }

  /**
   * Counts use that was reported late; a negative number takes back expected use that did not happen.
   * `most` is what the limit allowed since the last report; so much may come from what was spilled.
   */
  correct(count: number, maxFromOverflow: number): void {
    const fromOverflow = Math.max(0, Math.min(count, maxFromOverflow, this.overflow));
    this.overflow -= fromOverflow;
    this.take(count - fromOverflow);
  }

  take(count: number): void {
    this.tokens = this.bound(this.available() - count);
  }

  available(): number {
    return this.tokens ?? this.burst;
  }

  /** Requests admitted beyond the limit. */
  missing(): number {
    return Math.max(0, -this.available());
  }

  isFull(): boolean {
    return this.available() >= this.burst;
  }

  private bound(tokens: number): number {
    return Math.max(-MAX_DEBT_BURSTS * this.burst, Math.min(this.burst, tokens));
  }
}
