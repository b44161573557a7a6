import { Reachability } from '@jujubelanding/stand-ins';
import { MemberState, SHARD_COUNT } from '@jujubelanding/types';
import test from 'ava';
import { Fleet } from './fixtures/fleet.js';
import { LEASE_TTL_MS } from './index.js';

const startFleet = async (count: number, seed: number): Promise<Fleet> => {
  const fleet = new Fleet(seed);
  fleet.addMany(count);
  await fleet.timer.advance(6000);
  return fleet;
};

test('all shards get an owner and all VMs agree on it', async (t) => {
  const fleet = await startFleet(4, 1);
  t.is(fleet.countOwned(), SHARD_COUNT);
  for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
    const owners = [...fleet.nodes.values()].map(({ shards }) => shards.ownerOf(shard)?.entryVmId);
    t.is(new Set(owners).size, 1);
  }
  t.deepEqual(fleet.violations, []);
});

test('shards of a crashed VM are taken over after its lease ends, with higher fencing numbers', async (t) => {
  const fleet = await startFleet(4, 2);
  fleet.get('vm-1').process.isCrashed = true;
  fleet.forget('vm-1');
  fleet.nodes.delete('vm-1');
  await fleet.timer.advance(LEASE_TTL_MS + 2500);
  t.is(fleet.countOwned(), SHARD_COUNT);
  t.deepEqual(fleet.violations, []);
});

test('a VM paused beyond the end of its lease does not report shards as owned on resume', async (t) => {
  const fleet = await startFleet(4, 3);
  const node = fleet.get('vm-2');
  const [ownership] = node.shards.owned();
  for (const pauseMs of [4600, 20_000]) {
    node.process.pause();
    fleet.forget('vm-2');
    await fleet.timer.advance(pauseMs);
    t.is(node.shards.fenceOf(ownership!.shard), undefined);
    node.process.resume();
    t.is(node.shards.fenceOf(ownership!.shard), undefined);
    fleet.setState('vm-2', MemberState.Alive);
    await fleet.timer.advance(60_000);
    t.is(fleet.countOwned(), SHARD_COUNT);
  }
  t.deepEqual(fleet.violations, []);
});

test('lost replies of grant, renew and create leave neither orphaned keys nor two owners', async (t) => {
  const fleet = new Fleet(4);
  fleet.service.faults.lostReplyChance = 0.2;
  fleet.service.faults.lostRequestChance = 0.1;
  fleet.addMany(4);
  await fleet.timer.advance(120_000);
  t.deepEqual(fleet.violations, []);
  fleet.service.faults.lostReplyChance = 0;
  fleet.service.faults.lostRequestChance = 0;
  await fleet.timer.advance(60_000);
  t.is(fleet.countOwned(), SHARD_COUNT);
  t.deepEqual(fleet.violations, []);
});

test('during an outage leases end, calls are paced, and afterwards all shards return', async (t) => {
  const fleet = await startFleet(4, 5);
  fleet.service.faults.reachability = Reachability.Refusing;
  await fleet.timer.advance(LEASE_TTL_MS);
  t.is(fleet.countOwned(), 0);
  await fleet.timer.advance(60_000);
  fleet.service.faults.reachability = Reachability.Up;
  const before = fleet.service.readCounters();
  await fleet.timer.advance(10_000);
  t.is(fleet.countOwned(), SHARD_COUNT);
  const after = fleet.service.readCounters();
  t.true(after.writes! - before.writes! < 300, 'writes during recovery');
  t.true(after.reads! - before.reads! < 600, 'reads during recovery');
  t.deepEqual(fleet.violations, []);
});

test('a joining VM receives its shards a few at a time and no shard stays without owner', async (t) => {
  const fleet = await startFleet(3, 6);
  fleet.add('vm-new');
  let lowest = SHARD_COUNT;
  fleet.timer.every(100, () => {
    lowest = Math.min(lowest, fleet.countOwned());
  });
  await fleet.timer.advance(60_000);
  t.true(fleet.get('vm-new').shards.owned().length >= 8);
  // If a former owner competed for shards that it hands over, the fencing numbers would be higher.
  const fences = fleet
    .get('vm-new')
    .shards.owned()
    .map(({ fence }) => fence);
  t.true(fences.every((fence) => fence === 2));
  t.true(lowest >= SHARD_COUNT - 24, `lowest number of owned shards: ${lowest}`);
  t.is(fleet.countOwned(), SHARD_COUNT);
  t.deepEqual(fleet.violations, []);
});

test('a planned stop releases all shards at once', async (t) => {
  const fleet = await startFleet(4, 7);
  fleet.setState('vm-0', MemberState.Leaving);
  await fleet.timer.advance(500);
  const stopped = fleet.get('vm-0').shards.stop();
  await fleet.timer.advance(100);
  await stopped;
  fleet.forget('vm-0');
  await fleet.timer.advance(3000);
  t.is(fleet.countOwned(), SHARD_COUNT);
  t.is(fleet.get('vm-0').shards.owned().length, 0);
  t.deepEqual(fleet.violations, []);
});

test('a VM cut off from the key-value service loses its shards to the others', async (t) => {
  const fleet = await startFleet(4, 8);
  fleet.get('vm-3').client.faults.reachability = Reachability.Cut;
  await fleet.timer.advance(25_000);
  t.is(fleet.get('vm-3').shards.owned().length, 0);
  t.is(fleet.countOwned(), SHARD_COUNT);
  t.deepEqual(fleet.violations, []);
});

test('a restarted VM does not use the keys of its former run', async (t) => {
  const fleet = await startFleet(2, 9);
  const before = fleet.get('vm-0');
  before.process.isCrashed = true;
  const after = fleet.add('vm-0', 2);
  await fleet.timer.advance(4000);
  t.is(after.shards.owned().length, 0);
  await fleet.timer.advance(6000);
  t.is(fleet.countOwned(), SHARD_COUNT);
  t.deepEqual(fleet.violations, []);
});
