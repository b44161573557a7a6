import test from 'ava';
import { createRandom } from './index.js';

test('consecutive seeds start with different numbers', (t) => {
  const starts = Array.from({ length: 100 }, (_, seed) => createRandom(seed).next());
  const mean = starts.reduce((sum, value) => sum + value, 0) / starts.length;
  t.is(new Set(starts).size, starts.length);
  // The mean of 100 uniform numbers has a standard error of 0.03.
  t.true(Math.abs(mean - 0.5) < 0.1, `mean ${mean}`);
});

test('the same seed gives the same numbers', (t) => {
  const [a, b] = [createRandom(5), createRandom(5)];
  t.deepEqual(
    Array.from({ length: 20 }, () => a.next()),
    Array.from({ length: 20 }, () => b.next()),
  );
});
