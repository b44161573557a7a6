/** Samples the load of an engine at intervals, so that its reports lag behind. */
import type { Timer } from '@jujubelanding/timer';
import type { CacheEvent, LoadReport } from '@jujubelanding/types';

export type LoadSample = Omit<LoadReport, 'ageMs' | 'cacheEvents'>;

export class LoadReporter {
  private sample: LoadSample;

  private sampledAt: number;

  constructor(
    private readonly timer: Timer,
    private readonly intervalMs: number,
    private readonly takeSample: () => LoadSample,
  ) {
    this.sample = takeSample();
    this.sampledAt = timer.now();
  }

  read(cacheEvents: CacheEvent[]): LoadReport {
    return { ...this.sample, ageMs: this.timer.now() - this.sampledAt, cacheEvents };
  }

  /** Takes a sample if the last one is an interval old; must be called before the state changes. */
  refresh(): void {
    const now = this.timer.now();
    const age = now - this.sampledAt;
    if (age < this.intervalMs) return;
    this.sample = this.takeSample();
    this.sampledAt = this.intervalMs > 0 ? now - (age % this.intervalMs) : now;
  }
}
