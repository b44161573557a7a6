import test from 'ava';
import { countToYield, rankForBatch } from './capacity-share.js';

const createLoad = (online: number, batch: number) => ({
  workerId: 'w',
  slots: 8,
  online,
  batch,
  ageMs: 0,
});

const rank = (...loads: ReturnType<typeof createLoad>[]): number[] =>
  rankForBatch(loads.map((load, index) => ({ load, index }))).map(({ index }) => index);

test('batch leaves slots of the service free for the first requests of an online burst', (t) => {
  t.deepEqual(rank(createLoad(0, 7), createLoad(0, 8)), []);
  t.deepEqual(rank(createLoad(0, 7), createLoad(0, 7)), [0, 1]);
  t.deepEqual(rank(createLoad(7, 0), createLoad(8, 0), createLoad(6, 1)), []);
  t.deepEqual(rank(createLoad(2, 0), createLoad(1, 6), createLoad(0, 3)), [0, 2, 1]);
});

test('batch fills a service that online leaves idle but for one slot', (t) => {
  t.deepEqual(rank(createLoad(0, 6)), [0]);
  t.deepEqual(rank(createLoad(0, 7)), []);
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
