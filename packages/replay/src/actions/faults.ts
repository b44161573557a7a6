/** Faults of entry VMs, links, the platform and backend servers, and their end. */
import { HostState } from '@jujubelanding/simulation';
import { Reachability, type PlainService } from '@jujubelanding/stand-ins';
import { VmState } from '@jujubelanding/types';
import { Unreachability, type EventKind, type EventOf } from '../trace/events.js';
import type { ReplayHarness, PlacedWorker } from '../replay-harness.js';

interface EntryVmEvent {
  entryVm: string;
}

interface WorkerEvent {
  worker: string;
}

const setReachability = (service: PlainService | undefined, reachability: Reachability): void => {
  if (service !== undefined) service.faults.reachability = reachability;
};

export const crashEntryVm = (world: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  world.fleet.crash(entryVm);

export const startEntryVm = (world: ReplayHarness, { entryVm }: EntryVmEvent): void => {
  const { host, entryVm: daemon } = world.fleet.node(entryVm);
  if (host.state() !== HostState.Crashed && daemon.isListening()) return;
  world.fleet.startEntryVm(entryVm);
};

export const stopEntryVm = (
  world: ReplayHarness,
  { id, entryVm }: EventOf<EventKind.StopEntryVm>,
): void => {
  void world.fleet.stopEntryVm(entryVm).then(() => world.stopped.add(id));
};

export const pauseEntryVm = (world: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  world.fleet.node(entryVm).host.pause();

export const resumeEntryVm = (world: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  world.fleet.node(entryVm).host.resume();

export const cutLink = (world: ReplayHarness, { from, to }: EventOf<EventKind.CutLink>): void =>
  world.fleet.links.cut(from, to);

export const healLink = (world: ReplayHarness, { from, to }: EventOf<EventKind.HealLink>): void =>
  world.fleet.links.heal(from, to);

export const crashWorker = (world: ReplayHarness, { worker }: WorkerEvent): void => {
  world.engines.get(worker)?.crash();
  setReachability(world.plainServices.get(worker), Reachability.Refusing);
};

export const restartWorker = (world: ReplayHarness, { worker }: WorkerEvent): void => {
  world.engines.get(worker)?.restart();
  setReachability(world.plainServices.get(worker), Reachability.Up);
};

const listWorkersIn = (world: ReplayHarness, availabilityZone: string): PlacedWorker[] =>
  [...world.workers.values()].filter((worker) => worker.availabilityZone === availabilityZone);

const listEntryVmsIn = (world: ReplayHarness, availabilityZone: string): string[] =>
  [...world.fleet.nodes.values()]
    .filter(({ settings }) => settings.availabilityZone === availabilityZone)
    .map(({ host }) => host.id);

/** All machines of the zone lose power at once. */
export const loseZone = (
  world: ReplayHarness,
  { availabilityZone }: EventOf<EventKind.LoseZone>,
): void => {
  listEntryVmsIn(world, availabilityZone).forEach((id) => world.fleet.crash(id));
  listWorkersIn(world, availabilityZone).forEach(({ id }) => crashWorker(world, { worker: id }));
};

export const restoreZone = (
  world: ReplayHarness,
  { availabilityZone }: EventOf<EventKind.RestoreZone>,
): void => {
  listWorkersIn(world, availabilityZone).forEach(({ id }) => restartWorker(world, { worker: id }));
  listEntryVmsIn(world, availabilityZone).forEach((id) => startEntryVm(world, { entryVm: id }));
};

const REACHABILITY_BY_MODE: Record<Unreachability, Reachability> = {
  [Unreachability.Refusing]: Reachability.Refusing,
  [Unreachability.Cut]: Reachability.Cut,
};

export const failKeyValueService = (
  world: ReplayHarness,
  { mode }: EventOf<EventKind.KeyValueDown>,
): void => {
  world.fleet.keyValue.faults.reachability = REACHABILITY_BY_MODE[mode];
};

export const slowDownKeyValueService = (
  world: ReplayHarness,
  { floorMs, meanExtraMs }: EventOf<EventKind.KeyValueSlow>,
): void => {
  world.fleet.keyValue.faults.latency = { floorMs, meanExtraMs };
};

export const makeKeyValueServiceLossy = (
  world: ReplayHarness,
  { lostReplyChance, lostRequestChance }: EventOf<EventKind.KeyValueLossy>,
): void => {
  Object.assign(world.fleet.keyValue.faults, { lostReplyChance, lostRequestChance });
};

export const restoreKeyValueService = (world: ReplayHarness): void => {
  Object.assign(world.fleet.keyValue.faults, {
    reachability: Reachability.Up,
    latency: world.header.keyValueLatency,
    lostReplyChance: 0,
    lostRequestChance: 0,
  });
};

export const slowDownWorker = (
  world: ReplayHarness,
  { worker, factor }: EventOf<EventKind.SlowWorker>,
): void => {
  const engine = world.engines.get(worker);
  if (engine !== undefined) engine.settings.stepBaseMs *= factor;
  const service = world.plainServices.get(worker);
  if (service === undefined) return;
  const { floorMs, meanExtraMs } = service.latency;
  service.latency = { floorMs: floorMs * factor, meanExtraMs: meanExtraMs * factor };
};

const setWorkerState = (world: ReplayHarness, worker: string, state: VmState): void => {
  const { id, service, availabilityZone } = world.workers.get(worker)!;
  world.fleet.setWorkerEntry(id, service.name, availabilityZone, state);
};

export const markWorkerLeaving = (world: ReplayHarness, { worker }: WorkerEvent): void =>
  setWorkerState(world, worker, VmState.Leaving);

export const markWorkerLive = (world: ReplayHarness, { worker }: WorkerEvent): void =>
  setWorkerState(world, worker, VmState.Live);

export const fillDisk = (world: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  world.fleet.node(entryVm).disk?.setCapacity(0);

export const freeDisk = (world: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  world.fleet.node(entryVm).disk?.setCapacity(Number.POSITIVE_INFINITY);

/** Changes a byte of one stored segment. */
export const corruptSegment = (
  world: ReplayHarness,
  { entryVm, position }: EventOf<EventKind.CorruptSegment>,
): void => {
  const { disk } = world.fleet.node(entryVm);
  const paths = disk?.paths().filter((path) => path.startsWith('segments/')) ?? [];
  if (paths.length > 0) disk?.corrupt(paths[position % paths.length]!);
};
