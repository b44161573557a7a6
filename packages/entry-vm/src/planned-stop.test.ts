// Guards against callers that have nowhere to go while all VMs of a fleet are stopped together.
import { Fleet } from '@jujubelanding/simulation';
import test from 'ava';
import { Phase } from './index.js';

const ENTRY_POINT_LIFETIME_MS = 5000;

/** Time in which the members of a fleet get to know each other. */
const JOIN_MS = 10_000;

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
