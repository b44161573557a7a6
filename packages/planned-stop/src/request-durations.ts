/** Time after which durations no longer count is between one and two of these intervals. */
const WINDOW_MS = 15_000;

/** Lower bound of an estimate, as a few short requests say little about the next one. */
const MIN_ESTIMATE_MS = 1000;

interface Longest {
  current: number;
  former: number;
}

/** Longest recent duration of each kind of request, as an estimate of how long the next one takes. */
export class RequestDurations {
  private readonly longest = new Map<string, Longest>();

  private windowStart = 0;

  record(kind: string, durationMs: number, now: number): void {
    this.startWindow(now);
    const known = this.longest.get(kind) ?? { current: 0, former: 0 };
    this.longest.set(kind, { ...known, current: Math.max(known.current, durationMs) });
  }

  /**
   * Returns the time that a request probably takes at most: that of the longest recent one of its kind,
   * else of any kind, times a margin. If none is known, it is `maxMs`.
   */
  estimate(kind: string, maxMs: number, margin: number, now: number): number {
    this.startWindow(now);
    const known = this.longest.get(kind);
    const entries = known === undefined ? [...this.longest.values()] : [known];
    const longest = Math.max(0, ...entries.flatMap(({ current, former }) => [current, former]));
    if (longest === 0) return maxMs;
    return Math.min(maxMs, Math.max(MIN_ESTIMATE_MS, longest * margin));
  }

  private startWindow(now: number): void {
    const elapsed = now - this.windowStart;
    if (elapsed < WINDOW_MS) return;
    const isNext = elapsed < 2 * WINDOW_MS;
    this.windowStart = now;
    for (const [kind, { current }] of this.longest) {
      if (isNext && current > 0) this.longest.set(kind, { current: 0, former: current });
      else this.longest.delete(kind);
    }
  }
}
