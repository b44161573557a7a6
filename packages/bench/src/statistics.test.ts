import test from 'ava';
import { computeSpread, findPercentile, Samples } from './statistics.js';

// Guards against an off-by-one error in the rank, which shifts the p99 of small samples most.
test('percentiles use the nearest rank', (t) => {
  const sorted = Array.from({ length: 100 }, (_, index) => index + 1);
  t.is(findPercentile(sorted, 50), 50);
  t.is(findPercentile(sorted, 99), 99);
  t.is(findPercentile(sorted, 100), 100);
  t.is(findPercentile([7], 1), 7);
  t.is(findPercentile([], 50), NaN);
});

// Guards against sorting numbers as strings, and against a stale order after samples are added.
test('samples may be added after a percentile was read', (t) => {
  const samples = new Samples();
  [10, 9, 100].forEach((value) => samples.add(value));
  t.is(samples.percentile(50), 10);
  samples.add(1);
  samples.add(2);
  t.is(samples.percentile(50), 9);
});

// Guards against a run without samples turning the spread into NaN.
test('a spread leaves out runs without samples', (t) => {
  t.deepEqual(computeSpread([3, NaN, 1, 2]), { median: 2, least: 1, greatest: 3 });
});
