import { DatagramKind } from '@jujubelanding/peer-protocol';
import { MemberState } from '@jujubelanding/types';
import test from 'ava';
import { Packr } from 'msgpackr';
import { Cluster } from './fixtures/cluster.js';

const startCluster = async (count: number, seed: number): Promise<Cluster> => {
  const cluster = new Cluster(seed);
  cluster.addMany(count);
  await cluster.timer.advance(5000);
  return cluster;
};

/** Counts how often one of `ids` does not see another one as alive, sampled every 100 ms. */
const countFlaps = (cluster: Cluster, ids: string[]): (() => number) => {
  let flaps = 0;
  cluster.timer.every(100, () => {
    for (const viewer of ids) {
      for (const id of ids) {
        if (cluster.stateOf(id, viewer) !== MemberState.Alive) flaps += 1;
      }
    }
  });
  return () => flaps;
};

test('VMs discover each other from the seeds alone and remain members with 5% datagram loss', async (t) => {
  const cluster = await startCluster(8, 1);
  for (const { membership } of cluster.nodes.values()) t.is(membership.members().length, 8);
  cluster.loss = 0.05;
  await cluster.timer.advance(60_000);
  for (const { membership } of cluster.nodes.values()) t.is(membership.members().length, 8);
});

// New jobs were delayed when this flag only spread with the random gossip sample.
test('the openChunks flag reaches 32 VMs within 2 s, with 5% loss', async (t) => {
  const cluster = await startCluster(32, 12);
  await cluster.timer.advance(60_000);
  cluster.loss = 0.05;
  for (const openChunks of [true, false]) {
    cluster.get('vm-3').membership.updateSelf({ openChunks });
    await cluster.timer.advance(2000);
    for (const { membership } of cluster.nodes.values()) {
      t.is(membership.find('vm-3')!.openChunks, openChunks);
    }
  }
});

test('a crashed VM is dead everywhere within seconds and its old entry does not return', async (t) => {
  const cluster = await startCluster(6, 2);
  cluster.get('vm-3').process.isCrashed = true;
  await cluster.timer.advance(7000);
  for (const viewer of cluster.nodes.keys()) {
    if (viewer !== 'vm-3') t.is(cluster.stateOf('vm-3', viewer), undefined);
  }
  // A paused VM that still considers vm-3 alive resumes after the others removed the dead entry.
  cluster.get('vm-5').process.pause();
  await cluster.timer.advance(660_000);
  cluster.get('vm-5').process.resume();
  await cluster.timer.advance(10_000);
  for (const viewer of cluster.nodes.keys()) {
    if (viewer !== 'vm-3') t.is(cluster.stateOf('vm-3', viewer), undefined);
  }
});

test('a VM that can send but not receive is declared dead, and no other VM is', async (t) => {
  const cluster = await startCluster(8, 3);
  const others = [...cluster.nodes.keys()].filter((id) => id !== 'vm-2');
  const flaps = countFlaps(cluster, others);
  cluster.blockInbound('vm-2');
  const loads = cluster.timer.every(300, () => {
    cluster.get('vm-2').membership.updateSelf({ onlineLoad: cluster.timer.now() });
  });
  await cluster.timer.advance(7000);
  for (const viewer of others) t.is(cluster.stateOf('vm-2', viewer), undefined);
  await cluster.timer.advance(60_000);
  for (const viewer of others) t.is(cluster.stateOf('vm-2', viewer), undefined);
  t.is(flaps(), 0);
  loads.cancel();
  cluster.blockedLinks.clear();
  await cluster.timer.advance(35_000);
  for (const viewer of cluster.nodes.keys()) {
    for (const id of cluster.nodes.keys()) t.is(cluster.stateOf(id, viewer), MemberState.Alive);
  }
  t.is(flaps(), 0);
});

test('a VM that can receive but not send returns without others being declared dead', async (t) => {
  const cluster = await startCluster(8, 4);
  const others = [...cluster.nodes.keys()].filter((id) => id !== 'vm-6');
  const flaps = countFlaps(cluster, others);
  cluster.blockOutbound('vm-6');
  await cluster.timer.advance(30_000);
  for (const viewer of others) t.is(cluster.stateOf('vm-6', viewer), undefined);
  cluster.blockedLinks.clear();
  await cluster.timer.advance(35_000);
  for (const viewer of others) t.is(cluster.stateOf('vm-6', viewer), MemberState.Alive);
  t.is(cluster.get('vm-6').membership.members().length, 8);
  t.is(flaps(), 0);
});

test('a partition of one pair is bridged by indirect probes', async (t) => {
  const cluster = await startCluster(8, 5);
  const flaps = countFlaps(cluster, [...cluster.nodes.keys()]);
  cluster.blockedLinks.add('vm-0>vm-1');
  cluster.blockedLinks.add('vm-1>vm-0');
  await cluster.timer.advance(60_000);
  t.is(flaps(), 0);
});

test('a VM that was paused does not declare the others dead when it resumes', async (t) => {
  const cluster = await startCluster(8, 6);
  const others = [...cluster.nodes.keys()].filter((id) => id !== 'vm-4');
  const flaps = countFlaps(cluster, others);
  for (const pauseMs of [700, 1500, 10_000, 90_000]) {
    cluster.get('vm-4').process.pause();
    await cluster.timer.advance(pauseMs);
    cluster.get('vm-4').process.resume();
    await cluster.timer.advance(15_000);
    for (const viewer of others) t.is(cluster.stateOf('vm-4', viewer), MemberState.Alive);
    t.is(cluster.get('vm-4').membership.members().length, 8);
  }
  t.is(flaps(), 0);
});

test('a VM restarted under the same address replaces its former run', async (t) => {
  const cluster = await startCluster(8, 7);
  const before = cluster.get('vm-1').membership.self().bootId;
  cluster.get('vm-1').process.isCrashed = true;
  await cluster.timer.advance(300);
  cluster.add('vm-1');
  await cluster.timer.advance(5000);
  for (const { membership } of cluster.nodes.values()) {
    const seen = membership.find('vm-1');
    t.is(seen?.bootId, cluster.get('vm-1').membership.self().bootId);
    t.not(seen?.bootId, before);
    t.is(seen?.state, MemberState.Alive);
  }
});

test('a restart within the same second still gets a higher incarnation', async (t) => {
  const cluster = await startCluster(3, 8);
  cluster.get('vm-1').process.isCrashed = true;
  const { incarnation } = cluster.get('vm-0').membership.find('vm-1')!;
  cluster.add('vm-1');
  const again = cluster.add('vm-1');
  await cluster.timer.advance(3000);
  t.true(again.membership.self().incarnation > incarnation);
  t.is(cluster.get('vm-0').membership.find('vm-1')?.bootId, again.membership.self().bootId);
});

test('a VM restarted after its clock was set back replaces its former run', async (t) => {
  const cluster = await startCluster(5, 11);
  cluster.get('vm-1').process.isCrashed = true;
  cluster.timer.wallClock = () => 0;
  const again = cluster.add('vm-1');
  await cluster.timer.advance(1500);
  for (const { membership } of cluster.nodes.values()) {
    t.is(membership.find('vm-1')?.bootId, again.membership.self().bootId);
  }
});

test('the other VMs see a planned stop within a second, without failure detection', async (t) => {
  const cluster = await startCluster(8, 9);
  cluster.get('vm-7').membership.updateSelf({ state: MemberState.Leaving });
  await cluster.timer.advance(1000);
  t.is(cluster.stateOf('vm-7', 'vm-0'), MemberState.Leaving);
  cluster.get('vm-7').membership.stop();
  await cluster.timer.advance(500);
  for (const viewer of cluster.nodes.keys()) {
    if (viewer !== 'vm-7') t.is(cluster.stateOf('vm-7', viewer), undefined);
  }
});

test('datagrams stay below 1,200 bytes and extra gossip ends when nothing changes', async (t) => {
  const cluster = new Cluster(10);
  const packr = new Packr({ useRecords: false });
  let largest = 0;
  let unsolicited = 0;
  cluster.onSend = (_, datagram) => {
    largest = Math.max(largest, packr.pack(datagram).length);
    if (datagram.kind === DatagramKind.ProbeReply && datagram.sequence === 0) unsolicited += 1;
  };
  const nodes = cluster.addMany(24);
  // Together at most 64 shards have an owner; one VM may hold most of them.
  nodes.forEach(({ membership }, index) => {
    const count = index === 0 ? 40 : 1;
    const shards = Array.from({ length: count }, (_, shard) => ({ shard, fence: 70_000 + shard }));
    membership.updateSelf({ shards });
  });
  await cluster.timer.advance(30_000);
  unsolicited = 0;
  await cluster.timer.advance(30_000);
  t.is(unsolicited, 0);
  t.true(largest < 1200, `largest datagram has ${largest} bytes`);
  for (const { membership } of cluster.nodes.values()) t.is(membership.members().length, 24);
});

test('a suspicion reaches a VM whose entry does not fit into a datagram with a large one', async (t) => {
  const cluster = new Cluster(12);
  for (const { membership } of cluster.addMany(3)) {
    const shards = Array.from({ length: 21 }, (_, shard) => ({ shard, fence: 70_000 + shard }));
    membership.updateSelf({ shards });
  }
  await cluster.timer.advance(3000);
  cluster.get('vm-1').process.pause();
  await cluster.timer.advance(10_000);
  t.is(cluster.stateOf('vm-1', 'vm-0'), undefined);
  cluster.get('vm-1').process.resume();
  await cluster.timer.advance(3000);
  t.is(cluster.stateOf('vm-1', 'vm-0'), MemberState.Alive);
  t.is(cluster.get('vm-0').membership.find('vm-1')?.shards.length, 21);
});
