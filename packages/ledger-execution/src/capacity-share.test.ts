import test from 'ava';
import { countFreeForBatch, countToYield } from './capacity-share.js';

const createLoad = (online: number, batch: number) => ({
  workerId: 'w',
  slots: 8,
  online,
  batch,
  ageMs: 0,
});

test('batch leaves a slot free for the first request of an online burst', (t) => {
  t.deepEqual(
    [0, 3, 6, 7, 8].map((online) => countFreeForBatch(createLoad(online, 0))),
    [7, 4, 1, 0, 0],
  );
  t.is(countFreeForBatch(createLoad(4, 3)), 0);
});

test('in a burst the VMs together give up exactly the items that online requests wait for', (t) => {
  const byVm = [
    { entryVmId: 'a', batch: 1 },
    { entryVmId: 'b', batch: 0 },
    { entryVmId: 'c', batch: 4 },
  ];
  const count = (online: number): number[] =>
    byVm.map(({ entryVmId }) => countToYield(createLoad(online, 5), byVm, entryVmId));
  t.deepEqual(count(3), [0, 0, 0]);
  t.deepEqual(count(4), [1, 0, 0]);
  t.deepEqual(count(6), [1, 0, 2]);
  t.deepEqual(count(20), [1, 0, 4]);
});
