/** Least-squares line through measured points, with residuals that show how well it fits. */

/** A measured value at a size. */
export interface Point {
  size: number;
  value: number;
}

export interface Fit {
  slope: number;
  intercept: number;
  /** Coefficient of determination; 1 if all values are equal. */
  r2: number;
  /** Largest residual relative to the largest absolute value. */
  maxResidual: number;
  /** Slope on logarithmic scales: 0 for constant, 1 for linear, 2 for quadratic growth. */
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

/** Fits a line; the slope is 0 unless there are points of at least two different sizes. */
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

/** Returns the value of the line at a size. */
export const predict = (fit: Fit, size: number): number => fit.intercept + fit.slope * size;

/**
 * Interpolates between the two nearest points. Above the largest size it uses the fitted line, and
 * below the smallest size the value at that size, as an upper bound.
 */
export const interpolate = (points: readonly Point[], fit: Fit, size: number): number => {
  const upperIndex = points.findIndex((point) => point.size >= size);
  if (upperIndex === -1) return Math.max(0, predict(fit, size));
  const [before, after] = [points[upperIndex - 1], points[upperIndex]!];
  if (before === undefined) return after.value;
  const share = (size - before.size) / (after.size - before.size);
  return before.value + share * (after.value - before.value);
};
