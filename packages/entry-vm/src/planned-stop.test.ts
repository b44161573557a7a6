// Guards against callers that have nowhere to go while all VMs of a fleet are stopped together.
import { Fleet, type FleetNode } from '@jujubelanding/simulation';
import { SHARD_COUNT } from '@jujubelanding/types';
import test from 'ava';
import { Phase } from './index.js';

const ENTRY_POINT_LIFETIME_MS = 5000;

/** Time in which the members of a fleet get to know each other. */
const JOIN_MS = 10_000;

const KEYS_PER_VM = 16;

const startFleet = async (): Promise<Fleet> => {
  const fleet = new Fleet({
    seed: 1,
    availabilityZones: ['a', 'b'],
    entryVmCount: 4,
    diskVmCount: 0,
    localDelayMs: 1,
    remoteDelayMs: 2,
    vmListLagMs: 100,
    settings: { entryPointLifetimeMs: ENTRY_POINT_LIFETIME_MS },
  });
  fleet.startEntryVms();
  await fleet.advance(JOIN_MS);
  return fleet;
};

test('all VMs name serving VMs to callers until none serves any more', async (t) => {
  const fleet = await startFleet();
  const nodes = fleet.listLiveNodes();
  const stops = nodes.map(({ settings }) => fleet.stopEntryVm(settings.entryVmId));
  for (let elapsedMs = 0; elapsedMs < ENTRY_POINT_LIFETIME_MS - 500; elapsedMs += 500) {
    for (const { entryVm } of nodes) {
      t.is(entryVm.phase(), Phase.Leaving);
      const response = await entryVm.app.request('http://entry/v1/entry-points?caller=c');
      const { entryPoints } = (await response.json()) as { entryPoints: unknown[] };
      t.true(entryPoints.length > 0, `at ${elapsedMs} ms`);
    }
    await fleet.advance(500);
  }
  await fleet.advance(10_000);
  await Promise.all(stops);
  t.true(nodes.every(({ entryVm }) => entryVm.phase() === Phase.Stopped));
});

// Guards against requests that are refused while their VM still serves: VMs that left together gave up their
// shards, and claims of idempotency keys had no owner.
test('idempotency keys are claimed on all VMs while all of them leave', async (t) => {
  const fleet = await startFleet();
  const nodes = fleet.listLiveNodes();
  const stops = nodes.map(({ settings }) => fleet.stopEntryVm(settings.entryVmId));
  await fleet.advance(2000);
  let claimed = 0;
  const claimKey = async (node: FleetNode, key: string): Promise<void> => {
    const { claims } = node.entryVm.components;
    const claim = await claims.claim('team', key, 'digest', `request ${key}`);
    if (claim.isOk()) claimed += 1;
  };
  nodes.forEach((node) => {
    for (let index = 0; index < KEYS_PER_VM; index += 1) {
      void claimKey(node, `${node.settings.entryVmId} ${index}`);
    }
  });
  await fleet.advance(2000);
  t.true(nodes.every(({ entryVm }) => entryVm.phase() === Phase.Leaving));
  t.is(claimed, nodes.length * KEYS_PER_VM);
  await fleet.advance(15_000);
  await Promise.all(stops);
});

test('a VM that leaves alone hands its shards over at once', async (t) => {
  const fleet = await startFleet();
  const node = fleet.node('entry-1');
  t.true(node.entryVm.components.shards.owned().length > 0);
  const stop = fleet.stopEntryVm('entry-1');
  await fleet.advance(2000);
  t.is(node.entryVm.phase(), Phase.Leaving);
  t.deepEqual(node.entryVm.components.shards.owned(), []);
  const others = fleet.listLiveNodes().filter((other) => other !== node);
  const owned = others.flatMap(({ entryVm }) => entryVm.components.shards.owned());
  t.is(owned.length, SHARD_COUNT);
  await fleet.advance(10_000);
  await stop;
});
