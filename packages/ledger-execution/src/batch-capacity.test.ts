import test from 'ava';
import { countItemsToPreempt, rankWorkersForBatch } from './batch-capacity.js';

const createLoad = (online: number, batch: number) => ({
  workerId: 'w',
  slots: 8,
  online,
  batch,
  ageMs: 0,
});

const rank = (...loads: ReturnType<typeof createLoad>[]): number[] =>
  rankWorkersForBatch(loads.map((load, index) => ({ load, index }))).map(({ index }) => index);

test('batch items leave slots of the service free for the first requests of an online burst', (t) => {
  t.deepEqual(rank(createLoad(0, 7), createLoad(0, 8)), []);
  t.deepEqual(rank(createLoad(0, 7), createLoad(0, 7)), [0, 1]);
  t.deepEqual(rank(createLoad(7, 0), createLoad(8, 0), createLoad(6, 1)), []);
  t.deepEqual(rank(createLoad(2, 0), createLoad(1, 6), createLoad(0, 3)), [0, 2, 1]);
});

test('without online requests, batch items use all slots of a service but one', (t) => {
  t.deepEqual(rank(createLoad(0, 6)), [0]);
  t.deepEqual(rank(createLoad(0, 7)), []);
});

// Preemption must not favor VMs by id: the VM with the lowest id used to preempt its items first, even
// those that were due first.
test('in a burst the VMs together preempt the items due last, exactly as many as online requests need', (t) => {
  const byVm = [
    { entryVmId: 'a', due: [100] },
    { entryVmId: 'b', due: [] },
    { entryVmId: 'c', due: [90, 200, 300, 400] },
  ];
  const count = (online: number): number[] =>
    byVm.map(({ entryVmId }) => countItemsToPreempt(createLoad(online, 5), byVm, entryVmId));
  t.deepEqual(count(3), [0, 0, 0]);
  t.deepEqual(count(4), [0, 0, 1]);
  t.deepEqual(count(7), [1, 0, 3]);
  t.deepEqual(count(20), [1, 0, 4]);
});

test('free slots are left to waiting items of other VMs that are due earlier', (t) => {
  const workers = [{ load: createLoad(0, 4), index: 0 }];
  t.is(rankWorkersForBatch(workers, 2).length, 1);
  t.is(rankWorkersForBatch(workers, 3).length, 0);
});
