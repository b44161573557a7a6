/** Handlers of events that start or end faults of entry VMs, links, the platform and backend servers. */
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

export const crashEntryVm = (harness: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  harness.fleet.crash(entryVm);

export const startEntryVm = (harness: ReplayHarness, { entryVm }: EntryVmEvent): void => {
  const { host, entryVm: process } = harness.fleet.node(entryVm);
  if (host.state() !== HostState.Crashed && process.isListening()) return;
  harness.fleet.startEntryVm(entryVm);
};

export const stopEntryVm = (
  harness: ReplayHarness,
  { id, entryVm }: EventOf<EventKind.StopEntryVm>,
): void => {
  void harness.fleet.stopEntryVm(entryVm).then(() => harness.stopped.add(id));
};

export const pauseEntryVm = (harness: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  harness.fleet.node(entryVm).host.pause();

export const resumeEntryVm = (harness: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  harness.fleet.node(entryVm).host.resume();

export const cutLink = (harness: ReplayHarness, { from, to }: EventOf<EventKind.CutLink>): void =>
  harness.fleet.links.cut(from, to);

export const healLink = (harness: ReplayHarness, { from, to }: EventOf<EventKind.HealLink>): void =>
  harness.fleet.links.heal(from, to);

export const crashWorker = (harness: ReplayHarness, { worker }: WorkerEvent): void => {
  harness.engines.get(worker)?.crash();
  setReachability(harness.plainServices.get(worker), Reachability.Refusing);
};

export const restartWorker = (harness: ReplayHarness, { worker }: WorkerEvent): void => {
  harness.engines.get(worker)?.restart();
  setReachability(harness.plainServices.get(worker), Reachability.Up);
};

const listWorkersIn = (harness: ReplayHarness, availabilityZone: string): PlacedWorker[] =>
  [...harness.workers.values()].filter((worker) => worker.availabilityZone === availabilityZone);

const listEntryVmsIn = (harness: ReplayHarness, availabilityZone: string): string[] =>
  [...harness.fleet.nodes.values()]
    .filter(({ settings }) => settings.availabilityZone === availabilityZone)
    .map(({ host }) => host.id);

/** Crashes all machines of the zone at once. */
export const loseZone = (
  harness: ReplayHarness,
  { availabilityZone }: EventOf<EventKind.LoseZone>,
): void => {
  listEntryVmsIn(harness, availabilityZone).forEach((id) => harness.fleet.crash(id));
  listWorkersIn(harness, availabilityZone).forEach(({ id }) =>
    crashWorker(harness, { worker: id }),
  );
};

export const restoreZone = (
  harness: ReplayHarness,
  { availabilityZone }: EventOf<EventKind.RestoreZone>,
): void => {
  listWorkersIn(harness, availabilityZone).forEach(({ id }) =>
    restartWorker(harness, { worker: id }),
  );
  listEntryVmsIn(harness, availabilityZone).forEach((id) => startEntryVm(harness, { entryVm: id }));
};

const REACHABILITY_BY_MODE: Record<Unreachability, Reachability> = {
  [Unreachability.Refusing]: Reachability.Refusing,
  [Unreachability.Cut]: Reachability.Cut,
};

export const failKeyValueService = (
  harness: ReplayHarness,
  { mode }: EventOf<EventKind.KeyValueDown>,
): void => {
  harness.fleet.keyValue.faults.reachability = REACHABILITY_BY_MODE[mode];
};

export const slowDownKeyValueService = (
  harness: ReplayHarness,
  { floorMs, meanExtraMs }: EventOf<EventKind.KeyValueSlow>,
): void => {
  harness.fleet.keyValue.faults.latency = { floorMs, meanExtraMs };
};

export const makeKeyValueServiceLossy = (
  harness: ReplayHarness,
  { lostReplyChance, lostRequestChance }: EventOf<EventKind.KeyValueLossy>,
): void => {
  Object.assign(harness.fleet.keyValue.faults, { lostReplyChance, lostRequestChance });
};

export const restoreKeyValueService = (harness: ReplayHarness): void => {
  Object.assign(harness.fleet.keyValue.faults, {
    reachability: Reachability.Up,
    latency: harness.header.keyValueLatency,
    lostReplyChance: 0,
    lostRequestChance: 0,
  });
};

export const slowDownWorker = (
  harness: ReplayHarness,
  { worker, factor }: EventOf<EventKind.SlowWorker>,
): void => {
  const engine = harness.engines.get(worker);
  if (engine !== undefined) engine.settings.stepBaseMs *= factor;
  const service = harness.plainServices.get(worker);
  if (service === undefined) return;
  const { floorMs, meanExtraMs } = service.latency;
  service.latency = { floorMs: floorMs * factor, meanExtraMs: meanExtraMs * factor };
};

const setWorkerState = (harness: ReplayHarness, worker: string, state: VmState): void => {
  const { id, service, availabilityZone } = harness.workers.get(worker)!;
  harness.fleet.setWorkerEntry(id, service.name, availabilityZone, state);
};

export const markWorkerLeaving = (harness: ReplayHarness, { worker }: WorkerEvent): void =>
  setWorkerState(harness, worker, VmState.Leaving);

export const markWorkerLive = (harness: ReplayHarness, { worker }: WorkerEvent): void =>
  setWorkerState(harness, worker, VmState.Live);

export const fillDisk = (harness: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  harness.fleet.node(entryVm).disk?.setCapacity(0);

export const freeDisk = (harness: ReplayHarness, { entryVm }: EntryVmEvent): void =>
  harness.fleet.node(entryVm).disk?.setCapacity(Number.POSITIVE_INFINITY);

/** Changes a byte of one stored segment. */
export const corruptSegment = (
  harness: ReplayHarness,
  { entryVm, position }: EventOf<EventKind.CorruptSegment>,
): void => {
  const { disk } = harness.fleet.node(entryVm);
  const paths = disk?.paths().filter((path) => path.startsWith('segments/')) ?? [];
  if (paths.length > 0) disk?.corrupt(paths[position % paths.length]!);
};
