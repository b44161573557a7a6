import type { Figures, ReportLine } from '../report.js';
import type { Samples } from '../statistics.js';

/** One run of a case. */
export interface RunRequest {
  variant: string;
  seed: number;
  /** Measured virtual time, without warm-up and drain. */
  seconds: number;
}

/** Result of one run. */
export interface RunResult {
  figures: Figures;
  /** Samples to pool over seeds when one run has too few for a reliable percentile. */
  firstTokenMs?: readonly number[];
}

/** Samples by variant, pooled over seeds. */
export type PooledSamples = ReadonlyMap<string, Samples>;

/** Figures by variant, with one entry per seed in the same order for all variants. */
export type Results = ReadonlyMap<string, readonly Figures[]>;

/** A benchmark case: variants that run under the same seeds, and the report that compares them. */
export interface BenchCase {
  variants: readonly string[];
  run(request: RunRequest): Promise<RunResult>;
  summarize(results: Results, firstTokenMs: PooledSamples): ReportLine[];
}
