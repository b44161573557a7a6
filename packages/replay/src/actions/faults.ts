/** Faults of entry VMs, links, the platform and backend servers, and their end. */
import { HostState } from '@jujubelanding/simulation';
import { Reachability, type PlainService } from '@jujubelanding/stand-ins';
import { VmState } from '@jujubelanding/types';
import { Unreachability, type EventKind, type EventOf } from '../trace/events.js';
import type { World, WorkerPlace } from '../world.js';

interface OfEntryVm {
  entryVm: string;
}

interface OfWorker {
  worker: string;
}

const setReachability = (service: PlainService | undefined, reachability: Reachability): void => {
  if (service !== undefined) service.faults.reachability = reachability;
};

export const crashEntryVm = (world: World, { entryVm }: OfEntryVm): void =>
  world.fleet.crash(entryVm);

export const startEntryVm = (world: World, { entryVm }: OfEntryVm): void => {
  const { host, entryVm: daemon } = world.fleet.node(entryVm);
  if (host.state() !== HostState.Crashed && daemon.isListening()) return;
  world.fleet.startEntryVm(entryVm);
};

export const stopEntryVm = (
  world: World,
  { id, entryVm }: EventOf<EventKind.StopEntryVm>,
): void => {
  void world.fleet.stopEntryVm(entryVm).then(() => world.stopped.add(id));
};

export const pauseEntryVm = (world: World, { entryVm }: OfEntryVm): void =>
  world.fleet.node(entryVm).host.pause();

export const resumeEntryVm = (world: World, { entryVm }: OfEntryVm): void =>
  world.fleet.node(entryVm).host.resume();

export const cutLink = (world: World, { from, to }: EventOf<EventKind.CutLink>): void =>
  world.fleet.links.cut(from, to);

export const healLink = (world: World, { from, to }: EventOf<EventKind.HealLink>): void =>
  world.fleet.links.heal(from, to);

export const crashWorker = (world: World, { worker }: OfWorker): void => {
  world.engines.get(worker)?.crash();
  setReachability(world.plainServices.get(worker), Reachability.Refusing);
};

export const restartWorker = (world: World, { worker }: OfWorker): void => {
  world.engines.get(worker)?.restart();
  setReachability(world.plainServices.get(worker), Reachability.Up);
};

const listZone = (world: World, availabilityZone: string): WorkerPlace[] =>
  [...world.workers.values()].filter((worker) => worker.availabilityZone === availabilityZone);

const listEntryVmsIn = (world: World, availabilityZone: string): string[] =>
  [...world.fleet.nodes.values()]
    .filter(({ settings }) => settings.availabilityZone === availabilityZone)
    .map(({ host }) => host.id);

/** All machines of the zone lose power at once. */
export const loseZone = (world: World, { availabilityZone }: EventOf<EventKind.LoseZone>): void => {
  listEntryVmsIn(world, availabilityZone).forEach((id) => world.fleet.crash(id));
  listZone(world, availabilityZone).forEach(({ id }) => crashWorker(world, { worker: id }));
};

export const restoreZone = (
  world: World,
  { availabilityZone }: EventOf<EventKind.RestoreZone>,
): void => {
  listZone(world, availabilityZone).forEach(({ id }) => restartWorker(world, { worker: id }));
  listEntryVmsIn(world, availabilityZone).forEach((id) => startEntryVm(world, { entryVm: id }));
};

const REACHABILITY: Record<Unreachability, Reachability> = {
  [Unreachability.Refusing]: Reachability.Refusing,
  [Unreachability.Cut]: Reachability.Cut,
};

export const keyValueDown = (world: World, { mode }: EventOf<EventKind.KeyValueDown>): void => {
  world.fleet.keyValue.faults.reachability = REACHABILITY[mode];
};

export const keyValueSlow = (
  world: World,
  { floorMs, meanExtraMs }: EventOf<EventKind.KeyValueSlow>,
): void => {
  world.fleet.keyValue.faults.latency = { floorMs, meanExtraMs };
};

export const keyValueLossy = (
  world: World,
  { lostReplyChance, lostRequestChance }: EventOf<EventKind.KeyValueLossy>,
): void => {
  Object.assign(world.fleet.keyValue.faults, { lostReplyChance, lostRequestChance });
};

export const keyValueUp = (world: World): void => {
  Object.assign(world.fleet.keyValue.faults, {
    reachability: Reachability.Up,
    latency: world.header.keyValueLatency,
    lostReplyChance: 0,
    lostRequestChance: 0,
  });
};

export const slowWorker = (
  world: World,
  { worker, factor }: EventOf<EventKind.SlowWorker>,
): void => {
  const engine = world.engines.get(worker);
  if (engine !== undefined) engine.settings.stepBaseMs *= factor;
  const service = world.plainServices.get(worker);
  if (service === undefined) return;
  const { floorMs, meanExtraMs } = service.latency;
  service.latency = { floorMs: floorMs * factor, meanExtraMs: meanExtraMs * factor };
};

const list = (world: World, worker: string, state: VmState): void => {
  const { id, service, availabilityZone } = world.workers.get(worker)!;
  world.fleet.setWorkerEntry(id, service.name, availabilityZone, state);
};

export const leaveWorker = (world: World, { worker }: OfWorker): void =>
  list(world, worker, VmState.Leaving);

export const returnWorker = (world: World, { worker }: OfWorker): void =>
  list(world, worker, VmState.Live);

export const fillDisk = (world: World, { entryVm }: OfEntryVm): void =>
  world.fleet.node(entryVm).disk?.setCapacity(0);

export const freeDisk = (world: World, { entryVm }: OfEntryVm): void =>
  world.fleet.node(entryVm).disk?.setCapacity(Number.POSITIVE_INFINITY);

/** Changes a byte of one stored segment. */
export const corruptSegment = (
  world: World,
  { entryVm, position }: EventOf<EventKind.CorruptSegment>,
): void => {
  const { disk } = world.fleet.node(entryVm);
  const paths = disk?.paths().filter((path) => path.startsWith('segments/')) ?? [];
  if (paths.length > 0) disk?.corrupt(paths[position % paths.length]!);
};
