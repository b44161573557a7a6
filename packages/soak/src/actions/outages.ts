/** Long faults that strike several machines: zones, regions, disks and the weight store. */
import { HostState } from '@jujubelanding/simulation';
import { Reachability } from '@jujubelanding/stand-ins';
import { healPartition, applyPartition, type NetworkPartition } from '../network-partition.js';
import type { Step } from '../step.js';
import { ENTRY_VM_COUNT, REGIONS } from '../fleet-layout.js';
import type { SoakHarness } from '../soak-harness.js';
import { submitLongJob } from './batch.js';
import { healLinks, restoreStore } from './faults.js';

/** Long enough for leases to end, for members to count as dead and for copies to be replaced. */
const MIN_OUTAGE_MS = 40_000;

const MAX_EXTRA_OUTAGE_MS = 50_000;

const chooseDuration = (amount: number): number => MIN_OUTAGE_MS + (amount % MAX_EXTRA_OUTAGE_MS);

/** Time for a job to be accepted and granted before the fault begins. */
const JOB_START_DELAY_MS = 3000;

const startPartition = (
  world: SoakHarness,
  step: Step,
  partition: NetworkPartition,
  applyFurtherFaults: () => void,
): void => {
  if (world.longFaults.isActive()) return;
  submitLongJob(world, step);
  let hasStarted = false;
  const startFault = (): void => {
    hasStarted = true;
    world.services.startPartition(partition);
    world.countFault('separations', 1);
    world.longFaults.reapply();
  };
  const start = world.fleet.timer.after(JOB_START_DELAY_MS, startFault);
  const apply = (): void => {
    if (!hasStarted) return;
    applyPartition(world, partition);
    applyFurtherFaults();
  };
  const end = (): void => {
    start.cancel();
    if (!hasStarted) return;
    world.services.endPartition();
    healPartition(world);
    healLinks(world);
    restoreStore(world);
  };
  world.longFaults.start({ apply, end }, chooseDuration(step.amount));
};

/** An availability zone is lost while the key-value service is slow for all others. */
export const loseZoneWithSlowStore = (world: SoakHarness, step: Step): void => {
  const { target, amount } = step;
  const zones = world.availabilityZones();
  const lostZone = zones[target % zones.length]!;
  const remainingZones = zones.filter((zone) => zone !== lostZone);
  const latency = { floorMs: 50 + (amount % 200), meanExtraMs: 50 + (amount % 350) };
  const partition: NetworkPartition = {
    sides: [[lostZone], remainingZones],
    platformAccess: [false, true],
  };
  startPartition(world, step, partition, () => {
    world.fleet.keyValue.faults.latency = latency;
  });
};

/** Which regions reach the key-value service during a partition. */
const PLATFORM_ACCESS_CASES: readonly (readonly boolean[])[] = [
  [true, false],
  [false, true],
  [true, true],
];

export const partitionRegions = (world: SoakHarness, step: Step): void => {
  const withPlatform = PLATFORM_ACCESS_CASES[step.target % PLATFORM_ACCESS_CASES.length]!;
  const partition: NetworkPartition = { sides: REGIONS, platformAccess: withPlatform };
  startPartition(world, step, partition, () => undefined);
};

const MAX_REPLACEMENT_DELAY_MS = 20_000;

/** Two VMs are replaced by ones with empty disks, unless a segment would be left without a copy. */
export const loseTwoDisks = (world: SoakHarness, { target, amount }: Step): void => {
  const { fleet, copies, longFaults } = world;
  if (longFaults.isActive() || fleet.links.hasCuts()) return;
  const nodes = [...fleet.nodes.values()].filter(({ host }) => host.state() === HostState.Running);
  // With another VM down, a majority of the VMs that hold the configuration could be lost.
  if (nodes.length < ENTRY_VM_COUNT || world.stoppingVms.size > 0) return;
  const ids = nodes.filter(({ disk }) => disk !== undefined).map(({ host }) => host.id);
  const first = ids[target % ids.length]!;
  const others = ids.filter((id) => id !== first);
  const lost = [first, others[amount % others.length]!];
  if (!copies.canLoseDisks(lost)) return;
  world.countFault('disksLost', lost.length);
  lost.forEach((id, index) => {
    const { disk } = fleet.node(id);
    fleet.crash(id);
    disk!.dropAllFiles();
    fleet.timer.after(1000 + ((amount * (index + 1)) % MAX_REPLACEMENT_DELAY_MS), () => {
      if (fleet.node(id).host.state() === HostState.Crashed) world.startEntryVm(id);
    });
  });
  copies.checkRecoverable();
};

export const slowDownWeightStore = (world: SoakHarness, { amount }: Step): void => {
  const { weightStore } = world.fleet;
  weightStore.faults.latency = { floorMs: 100, meanExtraMs: amount % 1500 };
  weightStore.bytesPerSecond = 20e6;
};

export const refuseWeightRequests = (world: SoakHarness): void => {
  world.fleet.weightStore.faults.reachability = Reachability.Refusing;
};

export const cutWeightStore = (world: SoakHarness): void => {
  world.fleet.weightStore.faults.reachability = Reachability.Cut;
};
