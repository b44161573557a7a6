/** Requests per second of one team, measured over few requests or a short time, whichever is longer. */

/** Requests over which a low rate is measured; fewer make shares follow chance. */
const WINDOW_REQUESTS = 16;

/** Shortest window, so that requests that arrive together do not count as a high rate. */
const LEAST_WINDOW_MS = 250;

/** Requests in the shortest window that make a surge certain enough to forget the past. */
const SURGE_REQUESTS = 4;

const SURGE_FACTOR = 2;

/** Window that a new meter starts with, so that a first request does not count as a high rate. */
const FIRST_WINDOW_MS = 2000;

/** Silence over this many expected requests means that the rate has fallen; chance alone rarely does that. */
const SURPRISING_SILENCE = 6;

/** Adapts its window to the rate: 16 requests, but at least 250 ms. */
export class DemandMeter {
  private count = 0;

  private startedAt: number;

  /** Requests of about the last 250 ms, fading out. */
  private recent = 0;

  private lastAt: number;

  constructor(now: number) {
    this.startedAt = now - FIRST_WINDOW_MS;
    this.lastAt = now;
  }

  add(now: number): void {
    this.restartAfterSilence(now);
    this.fade(now);
    this.recent += 1;
    this.count += 1;
    const window = now - this.startedAt;
    const isSurge =
      this.recent >= SURGE_REQUESTS &&
      this.recent / LEAST_WINDOW_MS > (SURGE_FACTOR * this.count) / Math.max(window, 1);
    if (isSurge) {
      this.count = this.recent;
      this.startedAt = now - LEAST_WINDOW_MS;
    } else if (this.count >= WINDOW_REQUESTS && window >= 2 * LEAST_WINDOW_MS) {
      this.count /= 2;
      this.startedAt = now - window / 2;
    }
  }

  /** A single request tells nothing about a rate, so it counts as none. */
  perSecond(now: number): number {
    if (this.count <= 1) return 0;
    const silence = now - this.lastAt;
    const before = this.count / Math.max(LEAST_WINDOW_MS, this.lastAt - this.startedAt);
    if (before * silence > SURPRISING_SILENCE) return 1000 / silence;
    return (this.count * 1000) / Math.max(LEAST_WINDOW_MS, now - this.startedAt);
  }

  private restartAfterSilence(now: number): void {
    const silence = now - this.lastAt;
    const before = this.count / Math.max(LEAST_WINDOW_MS, this.lastAt - this.startedAt);
    if (before * silence <= SURPRISING_SILENCE) return;
    this.count = 0;
    this.startedAt = this.lastAt;
  }

  private fade(now: number): void {
    this.recent *= Math.exp((this.lastAt - now) / LEAST_WINDOW_MS);
    this.lastAt = now;
  }
}
