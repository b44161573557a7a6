/** Long faults that strike several machines: zones, regions, disks and the weight store. */
import { HostState } from '@jujubelanding/simulation';
import { Reachability } from '@jujubelanding/stand-ins';
import { join, separate, type Separation } from '../separation.js';
import type { Step } from '../step.js';
import { ENTRY_VM_COUNT, REGIONS } from '../fleet-plan.js';
import type { World } from '../world.js';
import { submitLongJob } from './batch.js';
import { healLinks, storeUp } from './faults.js';

/** Long enough for leases to end, for members to count as dead and for copies to be replaced. */
const MIN_OUTAGE_MS = 40_000;

const MAX_EXTRA_OUTAGE_MS = 50_000;

const chooseDuration = (amount: number): number => MIN_OUTAGE_MS + (amount % MAX_EXTRA_OUTAGE_MS);

/** Time for a job to be accepted and granted before the fault begins. */
const HEAD_START_MS = 3000;

const startSeparation = (
  world: World,
  step: Step,
  separation: Separation,
  applyMore: () => void,
): void => {
  if (world.longFaults.isActive()) return;
  submitLongJob(world, step);
  let hasBegun = false;
  const begin = (): void => {
    hasBegun = true;
    world.services.begin(separation);
    world.countFault('separations', 1);
    world.longFaults.reapply();
  };
  const start = world.fleet.timer.after(HEAD_START_MS, begin);
  const apply = (): void => {
    if (!hasBegun) return;
    separate(world, separation);
    applyMore();
  };
  const end = (): void => {
    start.cancel();
    if (!hasBegun) return;
    world.services.end();
    join(world);
    healLinks(world);
    storeUp(world);
  };
  world.longFaults.start({ apply, end }, chooseDuration(step.amount));
};

/** An availability zone is lost while the key-value service is slow for all others. */
export const slowStoreWithoutZone = (world: World, step: Step): void => {
  const { target, amount } = step;
  const zones = world.availabilityZones();
  const lost = zones[target % zones.length]!;
  const rest = zones.filter((zone) => zone !== lost);
  const latency = { floorMs: 50 + (amount % 200), meanExtraMs: 50 + (amount % 350) };
  const separation: Separation = { sides: [[lost], rest], withPlatform: [false, true] };
  startSeparation(world, step, separation, () => {
    world.fleet.keyValue.faults.latency = latency;
  });
};

/** Which regions reach the key-value service during a partition. */
const REACHES: readonly (readonly boolean[])[] = [
  [true, false],
  [false, true],
  [true, true],
];

export const partitionRegions = (world: World, step: Step): void => {
  const withPlatform = REACHES[step.target % REACHES.length]!;
  const separation: Separation = { sides: REGIONS, withPlatform };
  startSeparation(world, step, separation, () => undefined);
};

const MAX_REPLACEMENT_MS = 20_000;

/** Two VMs are replaced by ones with empty disks, unless a segment would be left without a copy. */
export const loseTwoDisks = (world: World, { target, amount }: Step): void => {
  const { fleet, copies, longFaults } = world;
  if (longFaults.isActive() || fleet.links.hasCuts()) return;
  const nodes = [...fleet.nodes.values()].filter(({ host }) => host.state() === HostState.Running);
  // With another VM down, a majority of the VMs that hold the configuration could be lost.
  if (nodes.length < ENTRY_VM_COUNT || world.stopping.size > 0) return;
  const ids = nodes.filter(({ disk }) => disk !== undefined).map(({ host }) => host.id);
  const first = ids[target % ids.length]!;
  const others = ids.filter((id) => id !== first);
  const lost = [first, others[amount % others.length]!];
  if (!copies.mayLose(lost)) return;
  world.countFault('disksLost', lost.length);
  lost.forEach((id, index) => {
    const { disk } = fleet.node(id);
    fleet.crash(id);
    disk!.dropAllFiles();
    fleet.timer.after(1000 + ((amount * (index + 1)) % MAX_REPLACEMENT_MS), () => {
      if (fleet.node(id).host.state() === HostState.Crashed) world.startEntryVm(id);
    });
  });
  copies.checkRecoverable();
};

export const weightsSlow = (world: World, { amount }: Step): void => {
  const { weightStore } = world.fleet;
  weightStore.faults.latency = { floorMs: 100, meanExtraMs: amount % 1500 };
  weightStore.bytesPerSecond = 20e6;
};

export const weightsRefuse = (world: World): void => {
  world.fleet.weightStore.faults.reachability = Reachability.Refusing;
};

export const weightsDown = (world: World): void => {
  world.fleet.weightStore.faults.reachability = Reachability.Cut;
};
