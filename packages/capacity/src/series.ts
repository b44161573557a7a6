/** Series of measurements that vary one size. */
import { fitLine, type Fit, type Point } from './fit.js';

/** Kind of measured value; determines whether the values differ between runs. */
export enum Kind {
  /** Processor time, which varies between runs. */
  Processor = 'processor',
  /** A count, which is the same in each run with the same seed. */
  Counted = 'counted',
  /** Heap in use after garbage collection. */
  Memory = 'memory',
}

export interface Series {
  id: string;
  title: string;
  kind: Kind;
  /** The quantity that varies. */
  size: string;
  unit: string;
  /**
   * Source files whose code is measured, relative to `packages/`; a file without a path is in the
   * folder of the file before it.
   */
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

/** Runs a measurement at each size, one after the other. */
export const measureEach = async <T>(
  sizes: readonly number[],
  measure: (size: number) => T | Promise<T>,
): Promise<{ size: number; result: T }[]> => {
  const results: { size: number; result: T }[] = [];
  for (const size of sizes) results.push({ size, result: await measure(size) });
  return results;
};

/** Picks one value from each result. */
export const pickPoints = <T>(
  results: readonly { size: number; result: T }[],
  pick: (result: T) => number,
): Point[] => results.map(({ size, result }) => ({ size, value: pick(result) }));

export interface MeasurementOptions {
  seed: number;
  /** Measure fewer and smaller sizes. */
  quick: boolean;
}

/** Keeps the first four sizes in a quick run, enough to show whether growth is linear. */
export const selectSizes = (sizes: readonly number[], { quick }: MeasurementOptions): number[] =>
  quick ? sizes.slice(0, 4) : [...sizes];
