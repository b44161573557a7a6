import test from 'ava';
import { formatLine } from './index.js';

test('an event is one line; values with spaces, quotes or line breaks are quoted', (t) => {
  t.snapshot(
    formatLine('route', {
      worker: 'w1',
      candidates: ['w1', 'w2'],
      reason: 'least load',
      text: 'a\nb "c"',
      missing: undefined,
      empty: '',
      score: 1.5,
    }),
  );
});
