/** Time between the tokens of one answer, as its caller sees it. */

export interface Pace {
  meanMs: number;
  longestMs: number;
}

/** Follows an answer over all its attempts, so that the gap of a resumption counts. */
export class TokenPace {
  private firstAt: number | undefined;

  private lastAt = 0;

  private gaps = 0;

  private longestMs = 0;

  addToken(now: number): void {
    if (this.firstAt === undefined) this.firstAt = now;
    else {
      this.gaps += 1;
      this.longestMs = Math.max(this.longestMs, now - this.lastAt);
    }
    this.lastAt = now;
  }

  /** Returns nothing for an answer with fewer than two tokens. */
  read(): Pace | undefined {
    if (this.firstAt === undefined || this.gaps === 0) return undefined;
    return { meanMs: (this.lastAt - this.firstAt) / this.gaps, longestMs: this.longestMs };
  }
}
