const SECOND_MS = 1000;

/** Allows a maximum number of events per second. Times are passed in. */
export class RateBound {
  private startedAt = -Infinity;

  private count = 0;

  constructor(private readonly max: number) {}

  take(now: number): boolean {
    if (now - this.startedAt >= SECOND_MS) {
      this.startedAt = now;
      this.count = 0;
    }
    this.count += 1;
    return this.count <= this.max;
  }
}
