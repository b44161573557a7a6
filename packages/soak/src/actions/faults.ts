/** Steps that start or end faults of entry VMs, links, the platform and backend servers. */
import { HostState, type FleetNode } from '@jujubelanding/simulation';
import { Reachability } from '@jujubelanding/stand-ins';
import { VmState } from '@jujubelanding/types';
import type { Step } from '../step.js';
import { ENTRY_VM_COUNT, WEIGHT_BYTES_PER_SECOND } from '../fleet-layout.js';
import type { SoakHarness } from '../soak-harness.js';

/** Maximum number of entry VMs down or paused at a time; the design keeps two copies of segments. */
const MAX_UNAVAILABLE_VMS = 2;

const MAX_PAUSE_MS = 20_000;

const VM_LIST_LAG_MS = 300;

const countUnavailableVms = (harness: SoakHarness): number =>
  ENTRY_VM_COUNT -
  harness.listListeningNodes().filter(({ host }) => host.state() === HostState.Running).length;

/** Chooses an entry VM to take down; returns undefined when `MAX_UNAVAILABLE_VMS` are unavailable already. */
const chooseVmToTakeDown = (harness: SoakHarness, target: number): FleetNode | undefined =>
  countUnavailableVms(harness) >= MAX_UNAVAILABLE_VMS ? undefined : harness.chooseNode(target);

export const crashEntryVm = (harness: SoakHarness, { target }: Step): void => {
  const node = chooseVmToTakeDown(harness, target);
  if (node === undefined) return;
  harness.stoppingVms.delete(node.host.id);
  harness.fleet.crash(node.host.id);
};

export const startEntryVm = (harness: SoakHarness, { target }: Step): void => {
  const down = [...harness.fleet.nodes.values()].filter(
    ({ host, entryVm }) => host.state() === HostState.Crashed || !entryVm.isListening(),
  );
  const node = down[target % Math.max(1, down.length)];
  if (node === undefined || harness.stoppingVms.has(node.host.id)) return;
  harness.startEntryVm(node.host.id);
};

export const stopEntryVm = (harness: SoakHarness, { target }: Step): void => {
  const node = chooseVmToTakeDown(harness, target);
  if (node === undefined || harness.stoppingVms.has(node.host.id)) return;
  const { id } = node.host;
  harness.stoppingVms.add(id);
  // Callers see a broken connection only after the stop has returned, so the entry is kept for 1 ms.
  void harness.fleet
    .stopEntryVm(id)
    .then(() => harness.fleet.timer.after(1, () => harness.stoppingVms.delete(id)));
};

export const pauseEntryVm = (harness: SoakHarness, { target, amount }: Step): void => {
  const node = chooseVmToTakeDown(harness, target);
  if (node === undefined) return;
  node.host.pause();
  harness.fleet.timer.after(500 + (amount % MAX_PAUSE_MS), () => node.host.resume());
};

export const cutOneWay = (harness: SoakHarness, { target, amount }: Step): void => {
  const nodes = harness.fleet.listLiveNodes();
  const from = nodes[target % nodes.length];
  const to = nodes[amount % nodes.length];
  if (from === undefined || to === undefined || from === to) return;
  harness.fleet.links.cut(from.host.id, to.host.id);
};

export const isolateZone = (harness: SoakHarness, { target }: Step): void => {
  const zones = harness.availabilityZones();
  const inside = harness.fleet.links.listMachinesIn(zones[target % zones.length]!);
  const nodes = [...harness.fleet.nodes.keys()];
  for (const inner of nodes.filter((id) => inside.includes(id))) {
    for (const outer of nodes.filter((id) => !inside.includes(id))) {
      harness.fleet.links.cutBoth(inner, outer);
    }
  }
};

export const healLinks = (harness: SoakHarness): void => {
  harness.fleet.links.healAll();
  harness.fleet.links.datagramLossChance = 0;
  harness.fleet.listLiveNodes().forEach(({ store, vmList }) => {
    store.faults.reachability = Reachability.Up;
    vmList.faults.reachability = Reachability.Up;
  });
  harness.longFaults.reapply();
};

export const cutStore = (harness: SoakHarness, { target }: Step): void => {
  const node = harness.chooseNode(target);
  if (node !== undefined) node.store.faults.reachability = Reachability.Cut;
};

export const failStore = (harness: SoakHarness, { target }: Step): void => {
  const { faults } = harness.fleet.keyValue;
  faults.reachability = target % 2 === 0 ? Reachability.Refusing : Reachability.Cut;
};

export const slowDownStore = (harness: SoakHarness, { amount }: Step): void => {
  harness.fleet.keyValue.faults.latency = { floorMs: 50, meanExtraMs: amount % 800 };
};

export const makeStoreLossy = (harness: SoakHarness, { amount }: Step): void => {
  const { faults } = harness.fleet.keyValue;
  faults.lostReplyChance = 0.05 + (amount % 40) / 100;
  faults.lostRequestChance = (amount % 20) / 100;
};

export const restoreStore = (harness: SoakHarness): void => {
  const { faults } = harness.fleet.keyValue;
  faults.reachability = Reachability.Up;
  faults.latency = { floorMs: 1, meanExtraMs: 1 };
  faults.lostReplyChance = 0;
  faults.lostRequestChance = 0;
  harness.longFaults.reapply();
};

export const restoreWeightStore = (harness: SoakHarness): void => {
  const { weightStore } = harness.fleet;
  weightStore.faults.reachability = Reachability.Up;
  weightStore.faults.latency = { floorMs: 0, meanExtraMs: 0 };
  weightStore.bytesPerSecond = WEIGHT_BYTES_PER_SECOND;
};

export const loseDatagrams = (harness: SoakHarness, { amount }: Step): void => {
  harness.fleet.links.datagramLossChance = (amount % 30) / 100;
};

export const crashWorker = (harness: SoakHarness, { target }: Step): void => {
  harness.engines[target % harness.engines.length]!.crash();
};

export const pauseWorker = (harness: SoakHarness, { target }: Step): void => {
  harness.engines[target % harness.engines.length]!.pause();
};

export const breakStreams = (harness: SoakHarness, { target, amount }: Step): void => {
  const { streamFaults } = harness.engines[target % harness.engines.length]!;
  const names = [
    'breakChance',
    'wrongIdChance',
    'swapChance',
    'gapChance',
    'truncateChance',
  ] as const;
  streamFaults[names[amount % names.length]!] = 0.3;
  const service = harness.plainServices[target % harness.plainServices.length]!;
  service.responseFaults.refusalChance = 0.3;
  service.faults.lostReplyChance = 0.3;
};

export const restoreWorkers = (harness: SoakHarness): void => {
  for (const engine of harness.engines) {
    if (engine.faults.reachability !== Reachability.Up) engine.restart();
    if (engine.isPaused()) engine.resume();
    Object.assign(engine.streamFaults, {
      breakChance: 0,
      wrongIdChance: 0,
      swapChance: 0,
      gapChance: 0,
      truncateChance: 0,
    });
  }
  harness.plainServices.forEach(({ responseFaults, faults }) => {
    responseFaults.refusalChance = 0;
    faults.lostReplyChance = 0;
  });
};

/** Marks one worker as leaving in the VM list, and as live again 5 s to 15 s later. */
export const markWorkerLeaving = (harness: SoakHarness, { target, amount }: Step): void => {
  const { fleet, observer } = harness;
  const vms = fleet.vmList.read().vms ?? [];
  const workers = vms.filter(({ service }) => service !== undefined);
  const vm = workers[target % workers.length];
  if (vm === undefined || observer.leavingSinceByWorker.size > 0) return;
  const { id, availabilityZone } = vm;
  const service = vm.service!;
  fleet.setWorkerEntry(id, service, availabilityZone, VmState.Leaving);
  fleet.timer.after(VM_LIST_LAG_MS, () => observer.leavingSinceByWorker.set(id, fleet.timer.now()));
  fleet.timer.after(5000 + (amount % 10_000), () => {
    observer.leavingSinceByWorker.delete(id);
    fleet.setWorkerEntry(id, service, availabilityZone, VmState.Live);
  });
};

const listDisks = (harness: SoakHarness) =>
  [...harness.fleet.nodes.values()].map(({ disk }) => disk).filter((disk) => disk !== undefined);

export const fillDisk = (harness: SoakHarness, { target, amount }: Step): void => {
  const disks = listDisks(harness);
  const disk = disks[target % disks.length]!;
  disk.setCapacity(0);
  harness.fleet.timer.after(2000 + (amount % 10_000), () => disk.setCapacity(Infinity));
};

/** Harnesses with a corrupted segment: each run corrupts one copy at most. */
const harnessesWithCorruption = new WeakSet<SoakHarness>();

/** Corrupts one copy on a disk, if every required segment has a good copy elsewhere. */
export const corruptSegment = (harness: SoakHarness, { target, amount }: Step): void => {
  if (harnessesWithCorruption.has(harness)) return;
  const disks = listDisks(harness);
  const index = target % disks.length;
  const disk = disks[index]!;
  // The first entry VMs have the disks, in the same order.
  if (!harness.copies.canLoseDisks([`entry-${index}`])) return;
  void disk.list('segments').then((files) => {
    const paths = files.unwrapOr([]);
    const path = paths[amount % Math.max(1, paths.length)];
    if (path === undefined) return;
    harnessesWithCorruption.add(harness);
    harness.copies.recordCorruption(path.slice('segments/'.length));
    disk.corrupt(path);
  });
};
