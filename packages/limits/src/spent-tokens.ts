/** Token bucket of a team over the whole fleet, as far as the owner knows its use. */

/** Requests beyond the limit are remembered up to this many times the burst. */
const MOST_DEBT = 10;

const MS_PER_SECOND = 1000;

export class SpentTokens {
  /** Tokens; below 0 when more was admitted than the limit allows. */
  private tokens: number | undefined;

  private burst = 0;

  private refilledAt = 0;

  /** Tokens that a full bucket did not take, because use was not reported yet. */
  private spilled = 0;

  /** Adds the rate, less the expected use, for the time since the last call. */
  refill(perSecond: number, burst: number, now: number): void {
    const gained = ((now - this.refilledAt) * perSecond) / MS_PER_SECOND;
    this.burst = burst;
    const tokens = (this.tokens ?? burst) + gained;
    this.spilled = tokens < burst ? 0 : this.spilled + tokens - burst;
    this.tokens = this.bound(tokens);
    this.refilledAt = now;
  }

  /**
   * Counts use that was reported late; a negative number takes back expected use that did not happen.
   * `most` is what the limit allowed since the last report; so much may come from what was spilled.
   */
  correct(count: number, most: number): void {
    const earlier = Math.max(0, Math.min(count, most, this.spilled));
    this.spilled -= earlier;
    this.take(count - earlier);
  }

  take(count: number): void {
    this.tokens = this.bound(this.left() - count);
  }

  left(): number {
    return this.tokens ?? this.burst;
  }

  /** Requests admitted beyond the limit. */
  missing(): number {
    return Math.max(0, -this.left());
  }

  isFull(): boolean {
    return this.left() >= this.burst;
  }

  private bound(tokens: number): number {
    return Math.max(-MOST_DEBT * this.burst, Math.min(this.burst, tokens));
  }
}
