import test from 'ava';
import { RecordKind } from '@jujubelanding/types';
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

test('lasting demand loads another worker; without demand the surplus goes, never the last copy', async (t) => {
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
