/** A measured dependency on one size. */
import { fitLine, type Fit, type Point } from './fit.js';

export enum SeriesKind {
  /** Processor time; varies from run to run. */
  Processor = 'processor',
  /** Counted; the same in each run with the same seed. */
  Counted = 'counted',
  /** Heap in use after garbage collection. */
  Memory = 'memory',
}

export interface Series {
  id: string;
  title: string;
  kind: SeriesKind;
  /** What is varied. */
  size: string;
  unit: string;
  /** Package and module whose code was run. */
  source: string;
  points: Point[];
  fit: Fit;
}

export type SeriesHeader = Omit<Series, 'points' | 'fit'>;

export const createSeries = (header: SeriesHeader, points: Point[]): Series => ({
  ...header,
  points,
  fit: fitLine(points),
});

/** Runs a measurement at each size in turn. */
export const measureEach = async <T>(
  sizes: readonly number[],
  measure: (size: number) => T | Promise<T>,
): Promise<{ size: number; result: T }[]> => {
  const results: { size: number; result: T }[] = [];
  for (const size of sizes) results.push({ size, result: await measure(size) });
  return results;
};

/** Takes one figure out of each result. */
export const pickPoints = <T>(
  results: readonly { size: number; result: T }[],
  pick: (result: T) => number,
): Point[] => results.map(({ size, result }) => ({ size, value: pick(result) }));

export interface MeasureOptions {
  seed: number;
  /** Fewer and smaller sizes. */
  quick: boolean;
}

/** Shortens a list of sizes in a quick run; four are needed to see a curve. */
export const selectSizes = (sizes: readonly number[], { quick }: MeasureOptions): number[] =>
  quick ? sizes.slice(0, 4) : [...sizes];
