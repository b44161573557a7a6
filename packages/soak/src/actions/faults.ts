/** Faults of entry VMs, links, the platform and backend servers, and their end. */
import { HostState, type FleetNode } from '@jujubelanding/simulation';
import { Reachability } from '@jujubelanding/stand-ins';
import { VmState } from '@jujubelanding/types';
import type { Step } from '../step.js';
import { ENTRY_VM_COUNT, WEIGHT_BYTES_PER_SECOND } from '../fleet-layout.js';
import type { SoakHarness } from '../soak-harness.js';

/** At most this many entry VMs are down at a time; the design keeps two copies of segments. */
const MAX_DOWN_VMS = 2;

const MAX_PAUSE_MS = 20_000;

const VM_LIST_LAG_MS = 300;

const countDownVms = (world: SoakHarness): number =>
  ENTRY_VM_COUNT -
  world.listListeningNodes().filter(({ host }) => host.state() === HostState.Running).length;

/** Chooses an entry VM to take down; undefined when enough are down. */
const chooseVmToTakeDown = (world: SoakHarness, target: number): FleetNode | undefined =>
  countDownVms(world) >= MAX_DOWN_VMS ? undefined : world.chooseNode(target);

export const crashEntryVm = (world: SoakHarness, { target }: Step): void => {
  const node = chooseVmToTakeDown(world, target);
  if (node === undefined) return;
  world.stoppingVms.delete(node.host.id);
  world.fleet.crash(node.host.id);
};

export const startEntryVm = (world: SoakHarness, { target }: Step): void => {
  const down = [...world.fleet.nodes.values()].filter(
    ({ host, entryVm }) => host.state() === HostState.Crashed || !entryVm.isListening(),
  );
  const node = down[target % Math.max(1, down.length)];
  if (node === undefined || world.stoppingVms.has(node.host.id)) return;
  world.startEntryVm(node.host.id);
};

export const stopEntryVm = (world: SoakHarness, { target }: Step): void => {
  const node = chooseVmToTakeDown(world, target);
  if (node === undefined || world.stoppingVms.has(node.host.id)) return;
  const { id } = node.host;
  world.stoppingVms.add(id);
  // Callers learn of a broken connection after the stop has returned.
  void world.fleet
    .stopEntryVm(id)
    .then(() => world.fleet.timer.after(1, () => world.stoppingVms.delete(id)));
};

export const pauseEntryVm = (world: SoakHarness, { target, amount }: Step): void => {
  const node = chooseVmToTakeDown(world, target);
  if (node === undefined) return;
  node.host.pause();
  world.fleet.timer.after(500 + (amount % MAX_PAUSE_MS), () => node.host.resume());
};

export const cutOneWay = (world: SoakHarness, { target, amount }: Step): void => {
  const nodes = world.fleet.listLiveNodes();
  const from = nodes[target % nodes.length];
  const to = nodes[amount % nodes.length];
  if (from === undefined || to === undefined || from === to) return;
  world.fleet.links.cut(from.host.id, to.host.id);
};

export const isolateZone = (world: SoakHarness, { target }: Step): void => {
  const zones = world.availabilityZones();
  const inside = world.fleet.links.listMachinesIn(zones[target % zones.length]!);
  const nodes = [...world.fleet.nodes.keys()];
  for (const inner of nodes.filter((id) => inside.includes(id))) {
    for (const outer of nodes.filter((id) => !inside.includes(id))) {
      world.fleet.links.cutBoth(inner, outer);
    }
  }
};

export const healLinks = (world: SoakHarness): void => {
  world.fleet.links.healAll();
  world.fleet.links.datagramLossChance = 0;
  world.fleet.listLiveNodes().forEach(({ store, vmList }) => {
    store.faults.reachability = Reachability.Up;
    vmList.faults.reachability = Reachability.Up;
  });
  world.longFaults.reapply();
};

export const cutStore = (world: SoakHarness, { target }: Step): void => {
  const node = world.chooseNode(target);
  if (node !== undefined) node.store.faults.reachability = Reachability.Cut;
};

export const failStore = (world: SoakHarness, { target }: Step): void => {
  const { faults } = world.fleet.keyValue;
  faults.reachability = target % 2 === 0 ? Reachability.Refusing : Reachability.Cut;
};

export const slowDownStore = (world: SoakHarness, { amount }: Step): void => {
  world.fleet.keyValue.faults.latency = { floorMs: 50, meanExtraMs: amount % 800 };
};

export const makeStoreLossy = (world: SoakHarness, { amount }: Step): void => {
  const { faults } = world.fleet.keyValue;
  faults.lostReplyChance = 0.05 + (amount % 40) / 100;
  faults.lostRequestChance = (amount % 20) / 100;
};

export const restoreStore = (world: SoakHarness): void => {
  const { faults } = world.fleet.keyValue;
  faults.reachability = Reachability.Up;
  faults.latency = { floorMs: 1, meanExtraMs: 1 };
  faults.lostReplyChance = 0;
  faults.lostRequestChance = 0;
  world.longFaults.reapply();
};

export const restoreWeightStore = (world: SoakHarness): void => {
  const { weightStore } = world.fleet;
  weightStore.faults.reachability = Reachability.Up;
  weightStore.faults.latency = { floorMs: 0, meanExtraMs: 0 };
  weightStore.bytesPerSecond = WEIGHT_BYTES_PER_SECOND;
};

export const loseDatagrams = (world: SoakHarness, { amount }: Step): void => {
  world.fleet.links.datagramLossChance = (amount % 30) / 100;
};

export const crashWorker = (world: SoakHarness, { target }: Step): void => {
  world.engines[target % world.engines.length]!.crash();
};

export const pauseWorker = (world: SoakHarness, { target }: Step): void => {
  world.engines[target % world.engines.length]!.pause();
};

export const breakStreams = (world: SoakHarness, { target, amount }: Step): void => {
  const { streamFaults } = world.engines[target % world.engines.length]!;
  const names = [
    'breakChance',
    'wrongIdChance',
    'swapChance',
    'gapChance',
    'truncateChance',
  ] as const;
  streamFaults[names[amount % names.length]!] = 0.3;
  const service = world.plainServices[target % world.plainServices.length]!;
  service.responseFaults.refusalChance = 0.3;
  service.faults.lostReplyChance = 0.3;
};

export const restoreWorkers = (world: SoakHarness): void => {
  for (const engine of world.engines) {
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
  world.plainServices.forEach(({ responseFaults: answerFaults, faults }) => {
    answerFaults.refusalChance = 0;
    faults.lostReplyChance = 0;
  });
};

/** The VM list shows one worker as leaving, and later as live again. */
export const markWorkerLeaving = (world: SoakHarness, { target, amount }: Step): void => {
  const { fleet, observer } = world;
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

const listDisks = (world: SoakHarness) =>
  [...world.fleet.nodes.values()].map(({ disk }) => disk).filter((disk) => disk !== undefined);

export const fillDisk = (world: SoakHarness, { target, amount }: Step): void => {
  const disks = listDisks(world);
  const disk = disks[target % disks.length]!;
  disk.setCapacity(0);
  world.fleet.timer.after(2000 + (amount % 10_000), () => disk.setCapacity(Infinity));
};

/** Corrupts one copy per run, and only where another good copy is sure to remain. */
const harnessesWithCorruption = new WeakSet<SoakHarness>();

export const corruptSegment = (world: SoakHarness, { target, amount }: Step): void => {
  if (harnessesWithCorruption.has(world)) return;
  const disks = listDisks(world);
  const index = target % disks.length;
  const disk = disks[index]!;
  // Disks belong to the first entry VMs.
  if (!world.copies.canLoseDisks([`entry-${index}`])) return;
  void disk.list('segments').then((files) => {
    const paths = files.unwrapOr([]);
    const path = paths[amount % Math.max(1, paths.length)];
    if (path === undefined) return;
    harnessesWithCorruption.add(world);
    world.copies.recordCorruption(path.slice('segments/'.length));
    disk.corrupt(path);
  });
};
