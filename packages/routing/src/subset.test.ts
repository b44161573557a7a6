import test from 'ava';
import { VmState, type Worker } from '@jujubelanding/types';
import { MAX_LOCAL_WORKERS, MAX_REMOTE_WORKERS, selectSubset } from './index.js';

const createWorkers = (count: number, zones: string[]): Worker[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    service: 'advisor',
    address: `w${index}:1`,
    availabilityZone: zones[index % zones.length]!,
    state: VmState.Live,
  }));

test('the subset size does not grow with the fleet, and all VMs together use all workers', (t) => {
  const workers = createWorkers(200, ['a', 'b']);
  const used = new Map<string, number>();
  for (let vm = 0; vm < 200; vm += 1) {
    const subset = selectSubset(workers, 'a', `vm${vm}`);
    t.is(subset.length, MAX_LOCAL_WORKERS + MAX_REMOTE_WORKERS);
    const local = subset.filter(({ availabilityZone }) => availabilityZone === 'a');
    local.forEach(({ id }) => used.set(id, (used.get(id) ?? 0) + 1));
  }
  t.is(used.size, 100);
  t.true(
    Math.max(...used.values()) <= 25,
    `one worker is used by ${Math.max(...used.values())} VMs; the average is 12`,
  );
});

test('all workers of a small fleet are used', (t) => {
  const workers = createWorkers(13, ['a', 'b', 'c', 'd']);
  t.is(selectSubset(workers, 'a', 'vm').length, 13);
});

test('removing a worker replaces at most one member of a subset', (t) => {
  const workers = createWorkers(200, ['a', 'b']);
  for (let vm = 0; vm < 20; vm += 1) {
    const before = selectSubset(workers, 'a', `vm${vm}`).map(({ id }) => id);
    const rest = workers.filter(({ id }) => id !== before[0]);
    const after = new Set(selectSubset(rest, 'a', `vm${vm}`).map(({ id }) => id));
    t.is(before.filter((id) => !after.has(id)).length, 1);
  }
});
