/**
 * Decides how many batch items a worker may run, for engines that admit requests in order of arrival.
 * It handles two situations. In a burst of online requests, slots that batch items leave free serve the
 * first requests, and one running item is preempted for each online request that waits. If there are
 * more batch items than slots, the items of all VMs get slots in order of their due time.
 */
import type { VmBatchItems } from '@jujubelanding/fleet-load';
import type { WorkerLoad } from '@jujubelanding/interfaces';

/**
 * Reserved slots per online request in progress. They cover the online requests that arrive in the 0.1 s
 * in which a load message is delivered and an item is preempted; a request takes 0.7 s (0.1 / 0.7).
 */
const RESERVED_SLOTS_PER_ONLINE_REQUEST = 0.14;

/** Slots of a service that batch items leave free even without online load. */
const MIN_RESERVED_SLOTS = 1;

const countFreeSlots = ({ slots, online, batch }: WorkerLoad): number =>
  Math.max(0, slots - online - batch);

/**
 * Slots that batch items leave free, counted over the whole service since online requests can go to
 * any worker.
 */
const countReservedSlots = (loads: readonly WorkerLoad[]): number => {
  const online = loads.reduce((sum, load) => sum + load.online, 0);
  return MIN_RESERVED_SLOTS + Math.ceil(online * RESERVED_SLOTS_PER_ONLINE_REQUEST);
};

/**
 * Returns the workers on which a batch item may be started, those with the most free slots first.
 * `waitingBefore` is the number of waiting items of other VMs that are due earlier; as many slots are
 * kept free for them.
 */
export const rankWorkersForBatch = <T extends { load: WorkerLoad }>(
  workers: readonly T[],
  waitingBefore = 0,
): T[] => {
  const loads = workers.map(({ load }) => load);
  const free = loads.reduce((sum, load) => sum + countFreeSlots(load), 0);
  if (free <= countReservedSlots(loads) + waitingBefore) return [];
  return workers
    .filter(({ load }) => countFreeSlots(load) > 0)
    .toSorted((a, b) => countFreeSlots(b.load) - countFreeSlots(a.load));
};

/**
 * Returns the number of items that a VM preempts on a worker with more requests than slots. All VMs use
 * the same order: items that are due last are preempted first.
 */
export const countItemsToPreempt = (
  load: WorkerLoad,
  batchByVm: readonly VmBatchItems[],
  entryVmId: string,
): number => {
  const excess = load.online + load.batch - load.slots;
  if (excess <= 0) return 0;
  return batchByVm
    .flatMap(({ entryVmId: id, due }) => due.map((dueAt) => ({ id, dueAt })))
    .toSorted((a, b) => b.dueAt - a.dueAt)
    .slice(0, excess)
    .filter(({ id }) => id === entryVmId).length;
};
