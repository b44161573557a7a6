/**
 * Decides how many batch items a worker may run, for engines that admit requests in order of arrival.
 * The pattern is a burst of online requests that meets workers full of batch items: batch leaves some
 * slots free for the first of the burst and gives up as many running items as online requests wait.
 */
import type { WorkerLoad } from '@jujubelanding/interfaces';

/**
 * Online requests that start while a load message is on its way and an item gives way, per request in
 * progress: 0.1 s over the 0.7 s that a request takes.
 */
const ARRIVING_SHARE = 0.14;

/** Slots of a service that stay free however little online load there is. */
const MIN_RESERVED_SLOTS = 1;

const countFree = ({ slots, online, batch }: WorkerLoad): number =>
  Math.max(0, slots - online - batch);

/** Slots of a whole service that batch leaves free; online requests go to any worker. */
const countReserved = (loads: readonly WorkerLoad[]): number => {
  const online = loads.reduce((sum, load) => sum + load.online, 0);
  return MIN_RESERVED_SLOTS + Math.ceil(online * ARRIVING_SHARE);
};

/** Workers on which a batch item may be started, the one with the most free slots first. */
export const rankForBatch = <T extends { load: WorkerLoad }>(workers: readonly T[]): T[] => {
  const loads = workers.map(({ load }) => load);
  const free = loads.reduce((sum, load) => sum + countFree(load), 0);
  if (free <= countReserved(loads)) return [];
  return workers
    .filter(({ load }) => countFree(load) > 0)
    .toSorted((a, b) => countFree(b.load) - countFree(a.load));
};

/** Batch items that each VM runs on a worker, in an order that all VMs agree on. */
export type BatchByVm = readonly { entryVmId: string; batch: number }[];

/** Number of items that a VM gives up on a worker with more requests than slots. */
export const countToYield = (load: WorkerLoad, batchByVm: BatchByVm, entryVmId: string): number => {
  let excess = load.online + load.batch - load.slots;
  for (const { entryVmId: id, batch } of batchByVm) {
    if (excess <= 0) return 0;
    if (id === entryVmId) return Math.min(batch, excess);
    excess -= batch;
  }
  return 0;
};
