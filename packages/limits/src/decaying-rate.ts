const MS_PER_SECOND = 1000;

/** Rate over a period that decays exponentially. */
export class DecayingRate {
  private count = 0;

  private countedAt = -Infinity;

  add(count: number, now: number, periodMs: number): void {
    this.count = this.decayed(now, periodMs) + count;
    this.countedAt = now;
  }

  perSecond(now: number, periodMs: number): number {
    return (this.decayed(now, periodMs) * MS_PER_SECOND) / periodMs;
  }

  private decayed(now: number, periodMs: number): number {
    return this.count === 0 ? 0 : this.count * Math.exp((this.countedAt - now) / periodMs);
  }
}
