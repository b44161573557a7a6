import type { Figures, Line } from '../report.js';

/** One run of a case. */
export interface RunRequest {
  variant: string;
  seed: number;
  /** Measured virtual time. */
  seconds: number;
}

/** Figures by variant, one entry for each seed in the same order. */
export type Results = ReadonlyMap<string, readonly Figures[]>;

/** A case: variants that run under the same seeds, and the lines that compare them. */
export interface BenchCase {
  variants: readonly string[];
  run(request: RunRequest): Promise<Figures>;
  summarize(results: Results, seconds: number): Line[];
}
