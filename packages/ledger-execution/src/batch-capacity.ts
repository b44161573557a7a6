/**
 * Decides how many batch items a worker may run, for engines that admit requests in order of arrival.
 * The first pattern is a burst of online requests that meets workers full of batch items: batch leaves
 * some slots free for the first of the burst and gives up as many running items as online requests wait.
 * The second is more batch work than slots: items of all VMs get slots in the order in which they are due.
 */
import type { VmBatchItems } from '@jujubelanding/fleet-load';
import type { WorkerLoad } from '@jujubelanding/interfaces';

/**
 * Online requests that start while a load message is on its way and an item gives way, per request in
 * progress: 0.1 s over the 0.7 s that a request takes.
 */
const RESERVED_SLOTS_PER_ONLINE_REQUEST = 0.14;

/** Slots of a service that stay free however little online load there is. */
const MIN_RESERVED_SLOTS = 1;

const countFreeSlots = ({ slots, online, batch }: WorkerLoad): number =>
  Math.max(0, slots - online - batch);

/** Slots of a whole service that batch leaves free; online requests go to any worker. */
const countReservedSlots = (loads: readonly WorkerLoad[]): number => {
  const online = loads.reduce((sum, load) => sum + load.online, 0);
  return MIN_RESERVED_SLOTS + Math.ceil(online * RESERVED_SLOTS_PER_ONLINE_REQUEST);
};

/**
 * Workers on which a batch item may be started, the one with the most free slots first. Slots for items
 * of other VMs that wait and are due earlier are left to them.
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
 * Number of items that a VM gives up on a worker with more requests than slots. All VMs agree on the
 * order: the items that are due last go first.
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
