/** In-memory metrics for tests and simulations. */
import type { Metrics, Tags } from './metrics.js';

export enum SampleKind {
  Increment = 'increment',
  Gauge = 'gauge',
  Timing = 'timing',
}

export interface Sample {
  kind: SampleKind;
  name: string;
  value: number;
  tags: Tags;
}

export class MemoryMetrics implements Metrics {
  readonly samples: Sample[] = [];

  increment(name: string, tags: Tags = {}, value = 1): void {
    this.samples.push({ kind: SampleKind.Increment, name, value, tags });
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    this.samples.push({ kind: SampleKind.Gauge, name, value, tags });
  }

  timing(name: string, valueMs: number, tags: Tags = {}): void {
    this.samples.push({ kind: SampleKind.Timing, name, value: valueMs, tags });
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Returns the samples of one metric in the order of recording. */
  getSamples(name: string): Sample[] {
    return this.samples.filter((sample) => sample.name === name);
  }
}
