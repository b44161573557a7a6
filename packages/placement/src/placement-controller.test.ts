import test from 'ava';
import { OrderKind, RecordKind, WorkerRole } from '@jujubelanding/types';
import { createPlacementFleet } from './fixtures/placement-fleet.js';

const listOrders = ({ lines }: ReturnType<typeof createPlacementFleet>) =>
  lines.filter(({ event }) => event === 'order');

test('models reach their minimum of workers, at the rate of the weight store', async (t) => {
  const fleet = createPlacementFleet(4);
  fleet.setModel('base', 3);
  await fleet.timer.advance(8000);
  t.is(fleet.countHolders('base'), 1);
  await fleet.timer.advance(60_000);
  t.is(fleet.countHolders('base'), 3);
  const times = listOrders(fleet).map(({ at }) => Number(at));
  t.is(times.length, 3);
  // Each weight takes 10 s at the rate limit.
  t.true(times.slice(1).every((at, index) => at - times[index]! >= 10_000));
});

test('an adapter is loaded only beside its model', async (t) => {
  const fleet = createPlacementFleet(2);
  fleet.setModel('base', 1);
  fleet.records.set(`${RecordKind.Adapter}/tuned`, {
    model: 'base',
    version: 'base-v1',
    minWorkers: 1,
  });
  await fleet.timer.advance(60_000);
  const holders = [...fleet.engines.values()].filter((engine) =>
    engine.readLoad(0).adapters.includes('tuned'),
  );
  t.is(holders.length, 1);
  t.deepEqual(holders[0]!.readLoad(0).models, ['base']);
});

test('lasting demand loads another copy; without demand surplus copies are unloaded, but never the last', async (t) => {
  const fleet = createPlacementFleet(3);
  fleet.setModel('base', 0);
  await fleet.timer.advance(30_000);
  t.is(fleet.countHolders('base'), 0);
  fleet.setModel('base', 1);
  await fleet.timer.advance(60_000);
  fleet.engines.forEach((_, id) => fleet.online.set(id, 14));
  await fleet.timer.advance(60_000);
  t.true(fleet.countHolders('base') >= 2);
  fleet.setModel('base', 0);
  fleet.online.clear();
  await fleet.timer.advance(1_200_000);
  t.is(fleet.countHolders('base'), 1);
});

test('a new version replaces the copies one after another and keeps one in service', async (t) => {
  const fleet = createPlacementFleet(2);
  fleet.setModel('base', 2);
  await fleet.timer.advance(60_000);
  t.is(fleet.countHolders('base'), 2);
  fleet.setModel('base', 2, 'v2');
  for (let step = 0; step < 200; step += 1) {
    await fleet.timer.advance(1000);
    t.true(fleet.countHolders('base') >= 1);
  }
  const loaded = listOrders(fleet).filter(
    ({ version, kind }) => version === 'base-v2' && kind === 'loadModel',
  );
  t.true(loaded.length >= 2);
  t.is(fleet.countHolders('base'), 2);
});

test('without the lease of shard 0 no order is sent', async (t) => {
  const fleet = createPlacementFleet(2);
  fleet.state.fence = undefined;
  fleet.setModel('base', 1);
  await fleet.timer.advance(60_000);
  t.deepEqual(listOrders(fleet), []);
});

test('an order under an outdated fencing number is refused by the worker', async (t) => {
  const fleet = createPlacementFleet(1);
  fleet.state.fence = 5;
  fleet.setModel('base', 1);
  await fleet.timer.advance(60_000);
  fleet.state.fence = 4;
  fleet.setModel('other', 1);
  await fleet.timer.advance(60_000);
  t.is(fleet.countHolders('other'), 0);
  t.true(listOrders(fleet).some(({ result }) => result === 'stale-fence'));
});

test('a new owner completes a version change that the previous owner started', async (t) => {
  const fleet = createPlacementFleet(3);
  fleet.setModel('base', 3);
  await fleet.timer.advance(90_000);
  t.is(fleet.countHolders('base', 'base-v1'), 3);
  fleet.setModel('base', 3, 'v2');
  while (fleet.countHolders('base', 'base-v2') === 0) await fleet.timer.advance(1000);
  t.is(fleet.countHolders('base', 'base-v2'), 1);
  // The new owner has not seen any workers or orders yet.
  fleet.state.fence = 2;
  await fleet.timer.advance(150_000);
  t.is(fleet.countHolders('base', 'base-v2'), 3);
});

test('a load fetches the weight of its version, and an older load that ends later has no effect', async (t) => {
  const fleet = createPlacementFleet(1);
  fleet.setModel('base', 1);
  await fleet.timer.advance(20_000);
  t.true(fleet.weights.includes('base-v1'));
  t.false(fleet.weights.includes('base'));
  fleet.state.fence = undefined;
  const engine = fleet.engines.get('worker-0')!;
  const load = { kind: OrderKind.LoadModel, target: 'base', fence: 1 };
  engine.sendOrder({ ...load, version: 'slow', weight: 'slow' });
  engine.sendOrder({ ...load, version: 'quick', weight: 'quick' });
  await fleet.timer.advance(10_000);
  t.is(engine.readLoad(0).versions?.base, 'quick');
});

test('a worker in another role is ordered back once, and again only if the order was lost', async (t) => {
  const fleet = createPlacementFleet(2);
  const [engine] = [...fleet.engines.values()];
  engine!.sendOrder({ kind: OrderKind.ChangeRole, target: WorkerRole.Decode, fence: 1 });
  await fleet.timer.advance(50_000);
  t.is(engine!.readLoad(0).role, WorkerRole.Mixed);
  const orders = listOrders(fleet).filter(({ kind }) => kind === OrderKind.ChangeRole);
  t.is(orders.length, 1);
  t.like(orders[0], { worker: 'worker-0', target: 'mixed', reason: 'other-role' });
});
