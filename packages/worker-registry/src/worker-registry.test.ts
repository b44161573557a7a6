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

const LAST_RESORT_MS = 1000;

const MEMORY_MS = 10 * 60_000;

const setUp = (timer = new VirtualTimer()) => {
  /** Fields of the entries that are put next. */
  const entryFields = { startedAt: 1, state: VmState.Live };
  const registry = new WorkerRegistry({
    timer,
    log: silentLog,
    prefix: 'servers/',
    decode: (id) => ({
      id,
      service: 's',
      address: `${id}:1`,
      availabilityZone: 'a',
      slots: 8,
      ...entryFields,
    }),
    lastResortMs: LAST_RESORT_MS,
  });
  const change = (kind: ChangeKind, id: string): void => {
    const entry = { key: `servers/${id}`, value: 'x', modRevision: 1 };
    registry.apply([{ kind, entry }]);
  };
  change(ChangeKind.Put, 'w');
  const ids = () => registry.workersOf('s').map(({ id }) => id);
  return { timer, registry, change, entryFields, ids };
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

/** Lists the worker `v` besides `w`, which announces that it is leaving. */
const setUpLeaving = () => {
  const setting = setUp();
  setting.change(ChangeKind.Put, 'v');
  setting.registry.recordLeaving(setting.registry.find('w')!);
  return setting;
};

// Requests went to a leaving worker for as long as its entry in the store said that it is live.
test('a worker that announces that it is leaving gets no new work, whatever its entry says', (t) => {
  const { registry, change, ids } = setUpLeaving();
  t.deepEqual(ids(), ['v']);
  change(ChangeKind.Put, 'w');
  t.deepEqual(ids(), ['v']);
  t.is(registry.find('w')?.state, VmState.Leaving);
  t.is(registry.all().filter(({ state }) => state === VmState.Live).length, 1);
  t.deepEqual(registry.listLeaving(), ['w']);
});

// An entry that expired in an outage of the store came back with its return.
test('a leaving worker whose entry is removed and comes back is still leaving', async (t) => {
  const { timer, change, ids } = setUpLeaving();
  change(ChangeKind.Delete, 'w');
  await timer.advance(MEMORY_MS / 2);
  change(ChangeKind.Put, 'w');
  await timer.advance(MEMORY_MS * 2);
  change(ChangeKind.Put, 'w');
  t.deepEqual(ids(), ['v']);
});

test('a worker that starts again under its id is used, also when a late answer of its former run arrives', (t) => {
  const { registry, change, entryFields, ids } = setUpLeaving();
  const formerRun = registry.find('w')!;
  entryFields.startedAt = 2;
  change(ChangeKind.Put, 'w');
  t.deepEqual(ids(), ['w', 'v']);
  registry.recordLeaving(formerRun);
  t.deepEqual(ids(), ['w', 'v']);
  registry.recordLeaving(registry.find('w')!);
  t.deepEqual(ids(), ['v']);
});

test('an entry of an earlier run does not bring a leaving worker back', (t) => {
  const { change, entryFields, ids } = setUpLeaving();
  entryFields.startedAt = 0;
  change(ChangeKind.Put, 'w');
  t.deepEqual(ids(), ['v']);
});

test('leaving workers without an entry are forgotten in the end', async (t) => {
  const { timer, registry, change, ids } = setUpLeaving();
  const unlisted = { ...registry.find('w')!, id: 'u' };
  registry.recordLeaving(unlisted);
  change(ChangeKind.Delete, 'w');
  t.deepEqual(registry.listLeaving(), []);
  await timer.advance(MEMORY_MS);
  change(ChangeKind.Put, 'v');
  change(ChangeKind.Put, 'w');
  change(ChangeKind.Put, 'u');
  t.deepEqual(ids(), ['v', 'w', 'u']);
});

// A leaving worker still serves for a while, so a refusal would not help the callers in that time.
test('leaving workers are used for a short time if no other worker of their service is left', async (t) => {
  const { timer, registry, ids } = setUpLeaving();
  await timer.advance(LAST_RESORT_MS / 2);
  registry.recordLeaving(registry.find('v')!);
  t.deepEqual(ids(), ['w', 'v']);
  registry.recordLeaving(registry.find('w')!);
  await timer.advance(LAST_RESORT_MS / 2);
  t.deepEqual(ids(), ['v'], 'a repeated announcement does not extend the time');
  await timer.advance(LAST_RESORT_MS / 2);
  t.deepEqual(ids(), []);
});

test('a worker that is leaving by its entry is not used even if no other is left', (t) => {
  const { registry, change, entryFields, ids } = setUpLeaving();
  registry.recordLeaving(registry.find('v')!);
  entryFields.state = VmState.Leaving;
  change(ChangeKind.Put, 'w');
  t.deepEqual(ids(), ['v']);
});
