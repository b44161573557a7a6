import type { Figures, ReportLine } from '../report.js';
import type { Samples } from '../statistics.js';

/** One run of a case. */
export interface RunRequest {
  variant: string;
  seed: number;
  /** Measured virtual time. */
  seconds: number;
}

/** What one run yields. */
export interface RunResult {
  figures: Figures;
  /** Samples that are pooled over seeds, where the percentile of one run rests on few of them. */
  firstTokenMs?: readonly number[];
}

/** Pooled samples by variant. */
export type PooledSamples = ReadonlyMap<string, Samples>;

/** Figures by variant, one entry for each seed in the same order. */
export type Results = ReadonlyMap<string, readonly Figures[]>;

/** A case: variants that run under the same seeds, and the lines that compare them. */
export interface BenchCase {
  variants: readonly string[];
  run(request: RunRequest): Promise<RunResult>;
  summarize(results: Results, firstTokenMs: PooledSamples): ReportLine[];
}
