/**
 * One planning step, without state. It answers two patterns of load. When a wave of online requests comes,
 * reserved slots serve its first requests, and one running item is preempted for each further request
 * that would wait. When more batch items wait than there are slots, the items of all VMs get slots in the
 * order in which they are due.
 */

/** A worker, with all work that is known to be on it. */
export interface PlannedWorker {
  workerId: string;
  service: string;
  availabilityZone: string;
  slots: number;
  online: number;
  /** True if the worker gets no batch items, because it did not run earlier ones. */
  isAvoided: boolean;
}

/** A batch item in progress, or one that was granted a slot and is not reported yet. */
export interface PlannedRun {
  runId: string;
  entryVmId: string;
  workerId: string;
  /** Epoch milliseconds. */
  dueAt: number;
}

/** Items of a VM with the same due time that wait for a slot. */
export interface WaitingItems {
  entryVmId: string;
  availabilityZone: string;
  service: string;
  dueAt: number;
  items: number;
}

/** Batch work of one VM. */
export interface VmBatch {
  runs: readonly PlannedRun[];
  waiting: readonly WaitingItems[];
}

export interface PlannedStart {
  entryVmId: string;
  workerId: string;
  service: string;
  dueAt: number;
}

export interface SlotPlan {
  starts: PlannedStart[];
  /** Items to preempt. */
  cuts: PlannedRun[];
}

/**
 * Reserved slots per online request in progress. They cover the online requests that arrive until a
 * change is reported, planned and carried out, which takes about 0.1 s of the 0.7 s of a request.
 */
const RESERVED_SLOTS_PER_ONLINE_REQUEST = 0.14;

/** Slots of a service that batch items leave free even without online load. */
const MIN_RESERVED_SLOTS = 1;

/** Slots of a service that batch items leave free, since online requests can go to any worker. */
export const countReservedSlots = (online: number): number =>
  MIN_RESERVED_SLOTS + Math.ceil(online * RESERVED_SLOTS_PER_ONLINE_REQUEST);

const groupBy = <T>(values: readonly T[], keyOf: (value: T) => string): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const value of values) {
    const group = groups.get(keyOf(value)) ?? [];
    group.push(value);
    groups.set(keyOf(value), group);
  }
  return groups;
};

/** Returns the items to preempt on a worker with more requests than slots, those due last first. */
const chooseCuts = (worker: PlannedWorker, runs: readonly PlannedRun[]): PlannedRun[] => {
  const excess = worker.online + runs.length - worker.slots;
  if (excess <= 0) return [];
  return runs.toSorted((a, b) => b.dueAt - a.dueAt).slice(0, excess);
};

interface WorkerSlots {
  worker: PlannedWorker;
  free: number;
}

/** Returns the worker with the most free slots; among equals, one in the zone of the VM. */
const chooseWorker = (
  workers: readonly WorkerSlots[],
  availabilityZone: string,
): WorkerSlots | undefined => {
  const most = Math.max(...workers.map(({ free }) => free));
  if (most <= 0) return undefined;
  const best = workers.filter(({ free }) => free === most);
  return best.find(({ worker }) => worker.availabilityZone === availabilityZone) ?? best[0];
};

/** Grants the free slots of one service beyond the reserved ones, to the items due first. */
const grantSlots = (
  workers: readonly WorkerSlots[],
  waiting: readonly WaitingItems[],
): PlannedStart[] => {
  const online = workers.reduce((sum, { worker }) => sum + worker.online, 0);
  const free = workers.reduce((sum, slots) => sum + Math.max(0, slots.free), 0);
  let grantable = free - countReservedSlots(online);
  const usable = workers.filter(({ worker }) => !worker.isAvoided).map((slots) => ({ ...slots }));
  const starts: PlannedStart[] = [];
  for (const { entryVmId, availabilityZone, service, dueAt, items } of waiting.toSorted(
    (a, b) => a.dueAt - b.dueAt,
  )) {
    for (let item = 0; item < items && grantable > 0; item += 1) {
      const chosen = chooseWorker(usable, availabilityZone);
      if (chosen === undefined) return starts;
      chosen.free -= 1;
      grantable -= 1;
      starts.push({ entryVmId, workerId: chosen.worker.workerId, service, dueAt });
    }
  }
  return starts;
};

export const planSlots = (
  workers: readonly PlannedWorker[],
  { runs, waiting }: VmBatch,
): SlotPlan => {
  const runsByWorker = groupBy(runs, ({ workerId }) => workerId);
  const waitingByService = groupBy(waiting, ({ service }) => service);
  const cuts = workers.flatMap((worker) =>
    chooseCuts(worker, runsByWorker.get(worker.workerId) ?? []),
  );
  const slots = workers.map((worker) => {
    const batch = runsByWorker.get(worker.workerId)?.length ?? 0;
    return { worker, free: worker.slots - worker.online - batch };
  });
  const slotsByService = groupBy(slots, ({ worker }) => worker.service);
  const starts = [...waitingByService].flatMap(([service, items]) =>
    grantSlots(slotsByService.get(service) ?? [], items),
  );
  return { starts, cuts };
};
