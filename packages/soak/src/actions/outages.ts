/** Steps that start faults of whole zones, regions, disks and the weight store. */
import { HostState } from '@jujubelanding/simulation';
import { Reachability } from '@jujubelanding/stand-ins';
import { healPartition, applyPartition, type NetworkPartition } from '../network-partition.js';
import type { Step } from '../step.js';
import { ENTRY_VM_COUNT, REGIONS } from '../fleet-layout.js';
import type { SoakHarness } from '../soak-harness.js';
import { submitLongJob } from './batch.js';
import { healLinks, restoreStore } from './faults.js';

/** Long enough for leases to expire, members to be declared dead and copies to be replaced. */
const MIN_OUTAGE_MS = 40_000;

const MAX_EXTRA_OUTAGE_MS = 50_000;

const chooseDuration = (amount: number): number => MIN_OUTAGE_MS + (amount % MAX_EXTRA_OUTAGE_MS);

/** Time for a job to be accepted and its chunks granted before the fault starts. */
const JOB_START_DELAY_MS = 3000;

/** Submits a long job, then partitions the network after a delay and applies further faults. */
const startPartition = (
  harness: SoakHarness,
  step: Step,
  partition: NetworkPartition,
  applyFurtherFaults: () => void,
): void => {
  if (harness.longFaults.isActive()) return;
  submitLongJob(harness, step);
  let hasStarted = false;
  const startFault = (): void => {
    hasStarted = true;
    harness.services.startPartition(partition);
    harness.countFault('separations', 1);
    harness.longFaults.reapply();
  };
  const pendingStart = harness.fleet.timer.after(JOB_START_DELAY_MS, startFault);
  const apply = (): void => {
    if (!hasStarted) return;
    applyPartition(harness, partition);
    applyFurtherFaults();
  };
  const end = (): void => {
    pendingStart.cancel();
    if (!hasStarted) return;
    harness.services.endPartition();
    healPartition(harness);
    healLinks(harness);
    restoreStore(harness);
  };
  harness.longFaults.start({ apply, end }, chooseDuration(step.amount));
};

/** Cuts off an availability zone while the key-value service is slow for all others. */
export const loseZoneWithSlowStore = (harness: SoakHarness, step: Step): void => {
  const { target, amount } = step;
  const zones = harness.availabilityZones();
  const lostZone = zones[target % zones.length]!;
  const remainingZones = zones.filter((zone) => zone !== lostZone);
  const latency = { floorMs: 50 + (amount % 200), meanExtraMs: 50 + (amount % 350) };
  const partition: NetworkPartition = {
    sides: [[lostZone], remainingZones],
    platformAccess: [false, true],
  };
  startPartition(harness, step, partition, () => {
    harness.fleet.keyValue.faults.latency = latency;
  });
};

/** Whether each region reaches the key-value service, the VM list and the weight store, by variant. */
const PLATFORM_ACCESS_CASES: readonly (readonly boolean[])[] = [
  [true, false],
  [false, true],
  [true, true],
];

export const partitionRegions = (harness: SoakHarness, step: Step): void => {
  const platformAccess = PLATFORM_ACCESS_CASES[step.target % PLATFORM_ACCESS_CASES.length]!;
  const partition: NetworkPartition = { sides: REGIONS, platformAccess };
  startPartition(harness, step, partition, () => undefined);
};

const MAX_REPLACEMENT_DELAY_MS = 20_000;

/** Replaces two VMs by ones with empty disks, unless a segment would be left without a copy. */
export const loseTwoDisks = (harness: SoakHarness, { target, amount }: Step): void => {
  const { fleet, copies, longFaults } = harness;
  if (longFaults.isActive() || fleet.links.hasCuts()) return;
  const nodes = [...fleet.nodes.values()].filter(({ host }) => host.state() === HostState.Running);
  // With another VM down, a majority of the VMs that store the configuration could be lost.
  if (nodes.length < ENTRY_VM_COUNT || harness.stoppingVms.size > 0) return;
  const ids = nodes.filter(({ disk }) => disk !== undefined).map(({ host }) => host.id);
  const first = ids[target % ids.length]!;
  const others = ids.filter((id) => id !== first);
  const lost = [first, others[amount % others.length]!];
  if (!copies.canLoseDisks(lost)) return;
  harness.countFault('disksLost', lost.length);
  lost.forEach((id, index) => {
    const { disk } = fleet.node(id);
    fleet.crash(id);
    disk!.dropAllFiles();
    fleet.timer.after(1000 + ((amount * (index + 1)) % MAX_REPLACEMENT_DELAY_MS), () => {
      if (fleet.node(id).host.state() === HostState.Crashed) harness.startEntryVm(id);
    });
  });
  copies.checkRecoverable();
};

export const slowDownWeightStore = (harness: SoakHarness, { amount }: Step): void => {
  const { weightStore } = harness.fleet;
  weightStore.faults.latency = { floorMs: 100, meanExtraMs: amount % 1500 };
  weightStore.bytesPerSecond = 20e6;
};

export const refuseWeightRequests = (harness: SoakHarness): void => {
  harness.fleet.weightStore.faults.reachability = Reachability.Refusing;
};

export const cutWeightStore = (harness: SoakHarness): void => {
  harness.fleet.weightStore.faults.reachability = Reachability.Cut;
};
