/** Inter-token latency of one answer, as observed by its caller. */

export interface InterTokenSummary {
  meanMs: number;
  longestMs: number;
}

/** Covers all attempts of an answer, so that the gap before a resumption is included. */
export class InterTokenLatency {
  private firstAt: number | undefined;

  private lastAt = 0;

  private gapCount = 0;

  private longestMs = 0;

  addToken(now: number): void {
    if (this.firstAt === undefined) this.firstAt = now;
    else {
      this.gapCount += 1;
      this.longestMs = Math.max(this.longestMs, now - this.lastAt);
    }
    this.lastAt = now;
  }

  /** Returns undefined for an answer with fewer than two tokens. */
  summarize(): InterTokenSummary | undefined {
    if (this.firstAt === undefined || this.gapCount === 0) return undefined;
    return { meanMs: (this.lastAt - this.firstAt) / this.gapCount, longestMs: this.longestMs };
  }
}
