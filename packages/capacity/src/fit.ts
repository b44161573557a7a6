/** Least-squares line through measured points, with the residuals that show whether it is one. */

/** A measured value at a size. */
export interface Point {
  size: number;
  value: number;
}

export interface Fit {
  slope: number;
  intercept: number;
  /** Share of the variance that the line explains; 1 for points that do not vary. */
  r2: number;
  /** Largest distance from the line relative to the largest value. */
  maxResidual: number;
  /** Slope in logarithmic scales: 0 is constant, 1 linear, 2 quadratic. */
  exponent: number;
}

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

const solveLeastSquares = (points: readonly Point[]): { slope: number; intercept: number } => {
  const meanSize = sum(points.map(({ size }) => size)) / points.length;
  const meanValue = sum(points.map(({ value }) => value)) / points.length;
  const sumOfSquares = sum(points.map(({ size }) => (size - meanSize) ** 2));
  const sumOfProducts = sum(
    points.map(({ size, value }) => (size - meanSize) * (value - meanValue)),
  );
  const slope = sumOfSquares === 0 ? 0 : sumOfProducts / sumOfSquares;
  return { slope, intercept: meanValue - slope * meanSize };
};

const computeExponent = (points: readonly Point[]): number => {
  const positive = points.filter(({ size, value }) => size > 0 && value > 0);
  if (positive.length < 2) return 0;
  return solveLeastSquares(
    positive.map(({ size, value }) => ({ size: Math.log(size), value: Math.log(value) })),
  ).slope;
};

/** Fits a line; at least two points of different size are needed for a slope. */
export const fitLine = (points: readonly Point[]): Fit => {
  const { slope, intercept } = solveLeastSquares(points);
  const meanValue = sum(points.map(({ value }) => value)) / points.length;
  const residuals = points.map(({ size, value }) => value - (intercept + slope * size));
  const unexplained = sum(residuals.map((residual) => residual ** 2));
  const total = sum(points.map(({ value }) => (value - meanValue) ** 2));
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)), Number.MIN_VALUE);
  return {
    slope,
    intercept,
    r2: total === 0 ? 1 : 1 - unexplained / total,
    maxResidual: Math.max(...residuals.map(Math.abs)) / largest,
    exponent: computeExponent(points),
  };
};

/** Value of the line at a size. */
export const predict = (fit: Fit, size: number): number => fit.intercept + fit.slope * size;

/**
 * Value between the two nearest points. Above the largest size the line is used; below the smallest
 * one its value, as an upper bound.
 */
export const interpolate = (points: readonly Point[], fit: Fit, size: number): number => {
  const upperIndex = points.findIndex((point) => point.size >= size);
  if (upperIndex === -1) return Math.max(0, predict(fit, size));
  const [before, after] = [points[upperIndex - 1], points[upperIndex]!];
  if (before === undefined) return after.value;
  const share = (size - before.size) / (after.size - before.size);
  return before.value + share * (after.value - before.value);
};
