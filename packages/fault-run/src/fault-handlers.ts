/** Faults of a run, and the handlers that inject and end them. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { LocalFleet } from '@jujubelanding/quickstart';
import type { EntryPointList } from './entry-point-list.js';

export enum FaultKind {
  None = 'none',
  Pause = 'pause',
  KeyValueOutage = 'keyValueOutage',
  LostReplies = 'lostReplies',
  WorkerCrash = 'workerCrash',
  EntryVmCrash = 'entryVmCrash',
  /** A killed entry VM restarts at once with its id and data folder. */
  Restart = 'restart',
  /** Two entry VMs are killed at the same time. */
  DoubleCrash = 'doubleCrash',
  /** An entry VM is killed and replaced while the key-value service is cut off. */
  CrashInOutage = 'crashInOutage',
  PlannedStop = 'plannedStop',
}

export interface FaultContext {
  fleet: LocalFleet;
  entryPoints: EntryPointList;
}

type FaultHandler = (context: FaultContext) => Promise<void>;

/** Longer than a lease of an entry VM (6 s), so that ownership moves. */
const FAULT_DURATION_MS = 9000;

const LOST_REPLY_CHANCE = 0.3;

/** Time for which callers keep using the address of a VM before they look up entry points again. */
const ENTRY_POINT_LIFETIME_MS = 1000;

const pauseEntryVm: FaultHandler = async ({ fleet, entryPoints }) => {
  const entryVm = fleet.entryVms[1]!;
  entryPoints.affectedEntryVms.add(entryVm.name);
  process.kill(entryVm.processId, 'SIGSTOP');
  await sleep(FAULT_DURATION_MS);
  process.kill(entryVm.processId, 'SIGCONT');
  await sleep(ENTRY_POINT_LIFETIME_MS);
  entryPoints.affectedEntryVms.delete(entryVm.name);
};

const cutOffKeyValue: FaultHandler = async ({ fleet }) => {
  await fleet.setKeyValueFaults({ reachability: 'cut' });
  await sleep(FAULT_DURATION_MS);
  await fleet.setKeyValueFaults({ reachability: 'up' });
};

const loseReplies: FaultHandler = async ({ fleet }) => {
  await fleet.setKeyValueFaults({ lostReplyChance: LOST_REPLY_CHANCE });
  await sleep(FAULT_DURATION_MS);
  await fleet.setKeyValueFaults({ lostReplyChance: 0 });
};

const crashWorker: FaultHandler = async ({ fleet }) => {
  fleet.engines[0]!.kill();
  await sleep(FAULT_DURATION_MS);
};

/** Kills an entry VM and returns its number. */
const killEntryVm = ({ fleet, entryPoints }: FaultContext, index: number): number => {
  const [entryVm] = fleet.entryVms.splice(index, 1);
  entryPoints.affectedEntryVms.add(entryVm!.name);
  entryVm!.kill();
  return Number(entryVm!.name.split('-')[1]);
};

const crashEntryVm: FaultHandler = async (context) => {
  killEntryVm(context, 2);
  await sleep(FAULT_DURATION_MS);
  await context.fleet.startNextEntryVm();
};

const restartEntryVm: FaultHandler = async (context) => {
  const number = killEntryVm(context, 2);
  await context.fleet.startEntryVm(number);
  await sleep(FAULT_DURATION_MS);
  context.entryPoints.affectedEntryVms.delete(`entry-${number}`);
};

const crashTwoEntryVms: FaultHandler = async (context) => {
  killEntryVm(context, 2);
  killEntryVm(context, 1);
  await sleep(FAULT_DURATION_MS);
  await context.fleet.startNextEntryVm();
  await context.fleet.startNextEntryVm();
};

const crashInOutage: FaultHandler = async (context) => {
  await context.fleet.setKeyValueFaults({ reachability: 'cut' });
  killEntryVm(context, 2);
  await context.fleet.startNextEntryVm();
  await sleep(FAULT_DURATION_MS);
  await context.fleet.setKeyValueFaults({ reachability: 'up' });
};

const stopEntryVm: FaultHandler = async ({ fleet, entryPoints }) => {
  const entryVm = fleet.entryVms[0]!;
  const stopped = entryVm.stop();
  // Callers look up entry points again after this lifetime; the VM serves requests until then.
  await sleep(ENTRY_POINT_LIFETIME_MS / 2);
  fleet.entryVms.shift();
  const code = await stopped;
  if (code !== 0) throw new Error(`${entryVm.name} ended with code ${code}`);
  entryPoints.affectedEntryVms.add(entryVm.name);
};

export const FAULT_HANDLERS: Record<FaultKind, FaultHandler> = {
  [FaultKind.None]: () => sleep(FAULT_DURATION_MS),
  [FaultKind.Pause]: pauseEntryVm,
  [FaultKind.KeyValueOutage]: cutOffKeyValue,
  [FaultKind.LostReplies]: loseReplies,
  [FaultKind.WorkerCrash]: crashWorker,
  [FaultKind.EntryVmCrash]: crashEntryVm,
  [FaultKind.Restart]: restartEntryVm,
  [FaultKind.DoubleCrash]: crashTwoEntryVms,
  [FaultKind.CrashInOutage]: crashInOutage,
  [FaultKind.PlannedStop]: stopEntryVm,
};
