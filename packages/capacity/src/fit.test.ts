import test from 'ava';
import { fitLine, interpolate, predict } from './fit.js';

const sizes = [1, 2, 4, 8, 16];

// Guards against a wrong slope, since every figure of the capacity page is derived from one.
test('points on a line are fitted exactly', (t) => {
  const fit = fitLine(sizes.map((size) => ({ size, value: 3 + 0.5 * size })));
  t.true(Math.abs(fit.slope - 0.5) < 1e-12);
  t.true(Math.abs(fit.intercept - 3) < 1e-12);
  t.true(Math.abs(fit.r2 - 1) < 1e-12);
  t.true(fit.maxResidual < 1e-12);
  t.true(Math.abs(predict(fit, 410) - 208) < 1e-9);
});

// Guards against a quadratic cost that is reported as linear.
test('quadratic values show in the exponent and the residual', (t) => {
  const fit = fitLine(sizes.map((size) => ({ size, value: size ** 2 })));
  t.true(Math.abs(fit.exponent - 2) < 1e-12);
  t.true(fit.maxResidual > 0.1);
  t.true(fit.r2 < 0.97);
});

// Guards against formulas that are right only for points on a line. The values are a textbook example
// with slope 0.6, intercept 2.2 and R² 0.6.
test('scattered points give the least-squares line', (t) => {
  const values = [2, 4, 5, 4, 5];
  const fit = fitLine(values.map((value, index) => ({ size: index + 1, value })));
  t.true(Math.abs(fit.slope - 0.6) < 1e-12);
  t.true(Math.abs(fit.intercept - 2.2) < 1e-12);
  t.true(Math.abs(fit.r2 - 0.6) < 1e-12);
});

// Guards against NaN, because constant values have no variance by which to divide.
test('constant points have slope 0 and no residual', (t) => {
  const fit = fitLine(sizes.map((size) => ({ size, value: 7 })));
  t.is(fit.slope, 0);
  t.is(fit.r2, 1);
  t.is(fit.maxResidual, 0);
});

// Guards against negative costs at small sizes, where a line fitted to large sizes falls below 0.
test('values between points are interpolated, and larger sizes follow the line', (t) => {
  const points = [1, 2, 4].map((size) => ({ size, value: size ** 2 }));
  const fit = fitLine(points);
  t.is(interpolate(points, fit, 3), 10);
  t.is(interpolate(points, fit, 0.5), 1);
  t.is(interpolate(points, fit, 8), predict(fit, 8));
});
