import { Reachability } from '@jujubelanding/stand-ins';
import { RecordKind } from '@jujubelanding/types';
import test from 'ava';
import { Fleet } from './fixtures/fleet.js';
import { MemoryDisk } from './fixtures/memory-disk.js';

const weightOf = (fleet: Fleet, id: string, name: string): string | undefined =>
  fleet.get(id).configuration.get(RecordKind.Version, name)?.spec.weight;

const startFleet = async (seed: number, owners = 3): Promise<Fleet> => {
  const fleet = new Fleet(seed);
  await fleet.write('v1', 'first');
  fleet.addMany(8, owners);
  await fleet.timer.advance(3000);
  return fleet;
};

test('a written revision is active on every VM within 4 s', async (t) => {
  const fleet = await startFleet(1);
  for (let index = 0; index < 5; index += 1) {
    const revision = await fleet.write('v1', `w${index}`);
    await fleet.timer.advance(4000);
    t.true(fleet.activeRevisions().every((active) => active === revision));
    for (const id of fleet.nodes.keys()) t.is(weightOf(fleet, id, 'v1'), `w${index}`);
  }
  t.deepEqual(fleet.violations, []);
});

test('continuous changes do not delay each other', async (t) => {
  const fleet = await startFleet(2);
  for (let index = 0; index < 50; index += 1) {
    await fleet.write(`v${index % 7}`, `w${index}`);
    await fleet.timer.advance(100);
  }
  const lowest = Math.min(...fleet.activeRevisions());
  const last = await fleet.write('v1', 'last');
  t.true(last - lowest < 40, `${last - lowest} revisions behind`);
  await fleet.timer.advance(4000);
  t.true(fleet.activeRevisions().every((active) => active === last));
});

test('no VM activates a revision that only a minority holds and that is not confirmed', async (t) => {
  const fleet = await startFleet(3, 1);
  const before = fleet.activeRevisions()[0]!;
  const owner = fleet.get('vm-0');
  // The only shard owner reads the change but cannot reach the other VMs.
  fleet.isolated.add('vm-0');
  await fleet.write('v1', 'second');
  await fleet.timer.advance(1000);
  t.is(owner.configuration.heldRevision(), before + 1);
  t.is(owner.configuration.activeRevision(), before);
  await fleet.timer.advance(2000);
  t.is(owner.configuration.activeRevision(), before + 1, 'confirmed by the watch itself');
});

test('without a majority a revision is activated once it is confirmed and 1.5 s have passed', async (t) => {
  const fleet = new Fleet(4);
  fleet.addMany(8, 1);
  for (let index = 3; index < 8; index += 1) fleet.crash(`vm-${index}`);
  await fleet.timer.advance(3000);
  const revision = await fleet.write('v1', 'w');
  await fleet.timer.advance(1000);
  t.deepEqual(fleet.activeRevisions(), [0, 0, 0]);
  await fleet.timer.advance(3000);
  t.deepEqual(fleet.activeRevisions(), [revision, revision, revision]);
});

test('a VM restarted during an outage is not ready until a majority or the key-value service answers', async (t) => {
  const fleet = await startFleet(5);
  const revision = await fleet.write('v1', 'newest');
  await fleet.timer.advance(4000);
  fleet.service.faults.reachability = Reachability.Cut;
  for (const id of ['vm-3', 'vm-4', 'vm-5', 'vm-6', 'vm-7']) fleet.crash(id);
  fleet.add('vm-4');
  await fleet.timer.advance(20_000);
  t.false(fleet.get('vm-4').configuration.isReady(), '4 of 7 others are needed, 3 answer');
  fleet.service.faults.reachability = Reachability.Up;
  await fleet.timer.advance(10_000);
  t.true(fleet.get('vm-4').configuration.isReady());
  t.is(fleet.get('vm-4').configuration.activeRevision(), revision);
  t.deepEqual(fleet.violations, []);
});

test('a VM restarted during an outage activates the highest held revision', async (t) => {
  const fleet = await startFleet(6);
  const revision = await fleet.write('v1', 'newest');
  await fleet.timer.advance(4000);
  fleet.service.faults.reachability = Reachability.Refusing;
  for (const id of ['vm-1', 'vm-6']) {
    fleet.crash(id);
    await fleet.timer.advance(1000);
    fleet.add(id);
    await fleet.timer.advance(6000);
    t.true(fleet.get(id).configuration.isReady());
    t.is(fleet.get(id).configuration.activeRevision(), revision);
    t.is(weightOf(fleet, id, 'v1'), 'newest');
  }
  t.deepEqual(fleet.violations, []);
});

test('a fleet restarted as a whole during an outage does not activate an empty configuration', async (t) => {
  const fleet = await startFleet(7);
  fleet.service.faults.reachability = Reachability.Refusing;
  for (const id of [...fleet.nodes.keys()]) fleet.crash(id);
  for (const id of [...fleet.nodes.keys()]) fleet.add(id, { isOwner: true });
  await fleet.timer.advance(30_000);
  for (const { configuration } of fleet.nodes.values()) t.false(configuration.isReady());
  fleet.service.faults.reachability = Reachability.Up;
  await fleet.timer.advance(10_000);
  for (const { configuration } of fleet.nodes.values()) t.true(configuration.isReady());
  t.deepEqual(fleet.violations, []);
});

test('a saved snapshot survives a restart, and an unsaved revision does not count as held', async (t) => {
  const fleet = new Fleet(8);
  const disk = new MemoryDisk();
  fleet.listed = [{ entryVmId: 'vm-0', peerAddress: 'vm-0' }];
  const revision = await fleet.write('v1', 'saved');
  fleet.add('vm-0', { isOwner: true, disk });
  await fleet.timer.advance(3000);
  disk.isFull = true;
  await fleet.write('v1', 'unsaved');
  await fleet.timer.advance(1000);
  t.is(fleet.get('vm-0').configuration.heldRevision(), revision);
  disk.isFull = false;
  await fleet.timer.advance(6000);
  t.is(fleet.get('vm-0').configuration.heldRevision(), revision + 1);
  fleet.service.faults.reachability = Reachability.Refusing;
  fleet.crash('vm-0');
  fleet.add('vm-0', { disk });
  await fleet.timer.advance(5000);
  t.true(fleet.get('vm-0').configuration.isReady());
  t.is(weightOf(fleet, 'vm-0', 'v1'), 'unsaved');
});

test('a corrupt snapshot is not used', async (t) => {
  const fleet = new Fleet(9);
  const disk = new MemoryDisk();
  disk.files.set('configuration/snapshot.json', new TextEncoder().encode('0000\n{"revision":5}'));
  fleet.listed = [{ entryVmId: 'vm-0', peerAddress: 'vm-0' }];
  fleet.service.faults.reachability = Reachability.Refusing;
  fleet.add('vm-0', { disk });
  await fleet.timer.advance(5000);
  t.false(fleet.get('vm-0').configuration.isReady());
});

test('after a compacted watch all records are read page by page', async (t) => {
  const fleet = new Fleet(10, 50);
  for (let index = 0; index < 1200; index += 1) await fleet.write(`v${index}`, 'w');
  fleet.addMany(3, 1);
  await fleet.timer.advance(4000);
  t.is(fleet.get('vm-2').configuration.list(RecordKind.Version).length, 1200);
  fleet.get('vm-0').client.faults.reachability = Reachability.Cut;
  for (let index = 0; index < 200; index += 1) await fleet.write(`v${index}`, 'changed');
  fleet.get('vm-0').client.faults.reachability = Reachability.Up;
  await fleet.timer.advance(30_000);
  for (const id of fleet.nodes.keys()) t.is(weightOf(fleet, id, 'v199'), 'changed');
  t.deepEqual(fleet.violations, []);
});

test('a record that does not parse is reported, and the previous one stays active', async (t) => {
  const fleet = await startFleet(11);
  const revision = await fleet.write('v1', '', '{"kind":"version","name":"v1"}');
  await fleet.timer.advance(4000);
  const { configuration } = fleet.get('vm-3');
  t.is(configuration.activeRevision(), revision);
  t.is(weightOf(fleet, 'vm-3', 'v1'), 'first');
  t.like(configuration.invalidRecords()[0], { name: 'v1', revision });
  await fleet.write('v1', 'repaired');
  await fleet.timer.advance(4000);
  t.is(weightOf(fleet, 'vm-3', 'v1'), 'repaired');
  t.deepEqual(configuration.invalidRecords(), []);
});

test('a VM restarted after a record became invalid activates the last valid one', async (t) => {
  const fleet = await startFleet(15);
  const former = JSON.parse(fleet.service.state.get('records/version/v1')!.value);
  fleet.service.state.write({
    key: 'history/version/v1',
    value: JSON.stringify([{ revision: 1, stored: former }]),
    expectedRevision: 0,
  });
  const revision = await fleet.write('v1', '', '{"kind":"version","name":"v1"}');
  await fleet.timer.advance(4000);
  fleet.crash('vm-1');
  fleet.add('vm-1');
  await fleet.timer.advance(4000);
  t.is(weightOf(fleet, 'vm-1', 'v1'), 'first', 'read from the history');
  fleet.service.faults.reachability = Reachability.Refusing;
  fleet.crash('vm-2');
  fleet.add('vm-2');
  await fleet.timer.advance(6000);
  t.is(fleet.get('vm-2').configuration.activeRevision(), revision);
  t.is(weightOf(fleet, 'vm-2', 'v1'), 'first', 'received from another VM');
});

test('a record stored under the key of another record is not activated', async (t) => {
  const fleet = await startFleet(14);
  const stored = { kind: 'version', name: 'v2', schemaVersion: 1, spec: { weight: 'other' } };
  await fleet.write('v1', '', JSON.stringify({ ...stored, writeId: 'w', author: 'o', time: 0 }));
  await fleet.timer.advance(4000);
  t.is(weightOf(fleet, 'vm-3', 'v1'), 'first');
  t.is(weightOf(fleet, 'vm-3', 'v2'), undefined);
});

test('a tombstone removes a record everywhere', async (t) => {
  const fleet = await startFleet(12);
  const tombstone = {
    kind: 'version',
    name: 'v1',
    deleted: true,
    writeId: 'w',
    author: 'o',
    time: 0,
  };
  await fleet.write('v1', '', JSON.stringify(tombstone));
  await fleet.timer.advance(4000);
  for (const id of fleet.nodes.keys()) t.is(weightOf(fleet, id, 'v1'), undefined);
});

test('a VM that missed all pushes pulls when gossip shows a higher revision', async (t) => {
  const fleet = await startFleet(13);
  fleet.isolated.add('vm-7');
  fleet.get('vm-7').client.faults.reachability = Reachability.Cut;
  const revision = await fleet.write('v1', 'missed');
  await fleet.timer.advance(8000);
  t.not(fleet.get('vm-7').configuration.activeRevision(), revision);
  fleet.isolated.delete('vm-7');
  await fleet.timer.advance(1500);
  t.is(fleet.get('vm-7').configuration.activeRevision(), revision);
});
