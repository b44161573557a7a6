import test from 'ava';
import { ItemIdSet } from './item-id-set.js';

test('an id that was added before is found, even after the table was resized', (t) => {
  const ids = new ItemIdSet();
  const all = Array.from({ length: 5000 }, (_, index) => `sheet-${index}`);
  t.true(all.every((id) => ids.add(id)));
  t.is(ids.size, 5000);
  t.true(all.every((id) => !ids.add(id)));
  t.is(ids.size, 5000);
});

test('ids whose digests map to the same slot are distinguished', (t) => {
  const ids = new ItemIdSet();
  // As many ids as half the initial slots: the table is as full as it gets, and many ids collide.
  const all = Array.from({ length: 512 }, (_, index) => `${index}`);
  t.true(all.every((id) => ids.add(id)));
  t.true(ids.add('512'));
  t.false(ids.add('0'));
});
