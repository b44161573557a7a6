/** Percentiles of samples, and the spread of a figure over seeds. */

/** Returns the nearest-rank percentile of values in ascending order; NaN if there are none. */
export const findPercentile = (sorted: ArrayLike<number>, percent: number): number => {
  if (sorted.length === 0) return NaN;
  const rank = Math.ceil((percent / 100) * sorted.length);
  return sorted[Math.max(0, Math.min(sorted.length, rank) - 1)]!;
};

/** Collects samples and computes their percentiles. */
export class Samples {
  private values: number[] = [];

  private isSorted = true;

  add(value: number): void {
    this.values.push(value);
    this.isSorted = false;
  }

  addAll(values: readonly number[]): void {
    values.forEach((value) => this.add(value));
  }

  list(): readonly number[] {
    return this.values;
  }

  get count(): number {
    return this.values.length;
  }

  percentile(percent: number): number {
    if (!this.isSorted) this.values = Array.from(Float64Array.from(this.values).sort());
    this.isSorted = true;
    return findPercentile(this.values, percent);
  }
}

/** Median and range of a figure over several seeds. */
export interface Spread {
  median: number;
  least: number;
  greatest: number;
}

/** Computes median and range; ignores NaN values, which come from runs without samples. */
export const computeSpread = (values: readonly number[]): Spread => {
  const sorted = values.filter((value) => !Number.isNaN(value)).toSorted((a, b) => a - b);
  return {
    median: findPercentile(sorted, 50),
    least: sorted[0] ?? NaN,
    greatest: sorted.at(-1) ?? NaN,
  };
};
