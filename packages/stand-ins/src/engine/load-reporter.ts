/** Load reports of an engine, taken at intervals and so answered with a lag. */
import type { Timer } from '@jujubelanding/timer';
import type { CacheEvent, LoadReport } from '@jujubelanding/types';

export type LoadReading = Omit<LoadReport, 'ageMs' | 'cacheEvents'>;

export class LoadReporter {
  private reading: LoadReading;

  private takenAt: number;

  constructor(
    private readonly timer: Timer,
    private readonly intervalMs: number,
    private readonly take: () => LoadReading,
  ) {
    this.reading = take();
    this.takenAt = timer.now();
  }

  read(cacheEvents: CacheEvent[]): LoadReport {
    return { ...this.reading, ageMs: this.timer.now() - this.takenAt, cacheEvents };
  }

  /** Takes a reading when the last one is an interval old; call before the state changes. */
  refresh(): void {
    const now = this.timer.now();
    const age = now - this.takenAt;
    if (age < this.intervalMs) return;
    this.reading = this.take();
    this.takenAt = this.intervalMs > 0 ? now - (age % this.intervalMs) : now;
  }
}
