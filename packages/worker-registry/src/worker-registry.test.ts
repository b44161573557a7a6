import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { ChangeKind } from '@jujubelanding/platform';
import { VirtualTimer, type Subscription } from '@jujubelanding/timer';
import { VmState } from '@jujubelanding/types';
import { WorkerRegistry } from './index.js';

/** Fires a fraction of a millisecond early, as Node's timers do, which count whole milliseconds. */
class EarlyTimer extends VirtualTimer {
  override after(delayMs: number, handler: () => void): Subscription {
    return super.after(delayMs - 0.4, handler);
  }
}

const setUp = (timer = new VirtualTimer()) => {
  const registry = new WorkerRegistry({
    timer,
    log: silentLog,
    prefix: 'servers/',
    decode: (id) => ({
      id,
      service: 's',
      address: `${id}:1`,
      availabilityZone: 'a',
      state: VmState.Live,
      slots: 8,
      startedAt: 1,
    }),
  });
  const change = (kind: ChangeKind, id: string): void => {
    const entry = { key: `servers/${id}`, value: 'x', modRevision: 1 };
    registry.apply([{ kind, entry }]);
  };
  change(ChangeKind.Put, 'w');
  return { timer, registry, change, ids: () => registry.workersOf('s').map(({ id }) => id) };
};

test('a worker whose entry is removed while the store is reachable is dropped at once', (t) => {
  const { change, ids } = setUp();
  change(ChangeKind.Delete, 'w');
  t.deepEqual(ids(), []);
});

test('workers whose entries expired in an outage stay in use for the grace period', async (t) => {
  const { timer, registry, change, ids } = setUp();
  change(ChangeKind.Put, 'v');
  registry.setReachable(false);
  registry.setReachable(true);
  change(ChangeKind.Delete, 'w');
  change(ChangeKind.Delete, 'v');
  t.deepEqual(ids(), ['w', 'v']);
  await timer.advance(1000);
  change(ChangeKind.Put, 'v');
  await timer.advance(1500);
  t.deepEqual(ids(), ['v']);
});

// Requests went to a worker that had ended: the timer at the end of the grace period fired a fraction
// of a millisecond early, the check found the period not over, and was never repeated.
test('a missing worker is dropped also when the timer fires early', async (t) => {
  const { timer, registry, change, ids } = setUp(new EarlyTimer());
  registry.setReachable(true);
  change(ChangeKind.Delete, 'w');
  await timer.advance(5000);
  t.deepEqual(ids(), []);
});

test('a second outage extends the grace period of the first', async (t) => {
  const { timer, registry, change, ids } = setUp();
  registry.setReachable(true);
  change(ChangeKind.Delete, 'w');
  await timer.advance(2000);
  registry.setReachable(false);
  await timer.advance(5000);
  t.deepEqual(ids(), ['w']);
  registry.setReachable(true);
  await timer.advance(2400);
  t.deepEqual(ids(), []);
});

// Another writer's entry costs only itself, however the decoder fails at it.
test('an entry that is no worker is skipped and logged once, and the others hold', (t) => {
  const lines: string[] = [];
  const registry = new WorkerRegistry({
    timer: new VirtualTimer(),
    log: { write: (event, fields) => lines.push(`${event} ${fields?.worker}`) },
    prefix: 'servers/',
    decode: (id, value) => {
      if (value === 'throws') throw new RangeError('too deep');
      if (value === 'odd') return undefined;
      const state = VmState.Live;
      const shape = { availabilityZone: 'a', state, slots: 8, startedAt: 1 };
      return { id, service: 's', address: '127.0.0.1:1', ...shape };
    },
  });
  const put = (id: string, value: string) => ({
    kind: ChangeKind.Put,
    entry: { key: `servers/${id}`, value, modRevision: 1 },
  });
  registry.apply([put('a', 'odd'), put('b', 'throws'), put('c', 'x')]);
  registry.apply([put('a', 'odd'), put('b', 'throws'), put('d', 'x')]);
  t.deepEqual(
    registry.workersOf('s').map(({ id }) => id),
    ['c', 'd'],
  );
  t.deepEqual(lines, ['worker-skipped a', 'worker-skipped b', 'worker c', 'worker d']);
  registry.apply([put('a', 'x'), put('a', 'odd')]);
  t.is(lines.filter((line) => line === 'worker-skipped a').length, 2, 'a new fault is logged');
});
