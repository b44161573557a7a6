// Guards against items that no worker can serve and that make all workers unavailable to other items.
import test from 'ava';
import { ItemBackoff } from './index.js';

test('an item is at fault once two workers did not serve it in a row', (t) => {
  const backoff = new ItemBackoff();
  t.deepEqual(
    ['w1', 'w1', 'w2', 'w1'].map((id) => backoff.record(id)),
    [false, false, true, true],
  );
  backoff.reset();
  t.false(backoff.record('w2'));
});

test('its wait grows from none to five seconds, also at a single worker', (t) => {
  const backoff = new ItemBackoff();
  const delays = Array.from({ length: 8 }, () => {
    backoff.record('w');
    return backoff.delayMs;
  });
  t.deepEqual(delays, [0, 400, 800, 1600, 3200, 5000, 5000, 5000]);
  backoff.reset();
  t.is(backoff.delayMs, 0);
});
