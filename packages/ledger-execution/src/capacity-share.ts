/**
 * Decides how many batch items a worker may run, for engines that admit requests in order of arrival.
 * The pattern is a burst of online requests that meets workers full of batch items: batch leaves some
 * slots free for the first of the burst and gives up as many running items as online requests wait.
 */
import type { WorkerLoad } from '@jujubelanding/interfaces';

/** Slots that batch leaves free, for online requests that arrive before the next load message. */
export const RESERVED_SLOTS = 1;

/** Number of batch items that may still be started on a worker. */
export const countFreeForBatch = ({ slots, online, batch }: WorkerLoad): number =>
  Math.max(0, slots - RESERVED_SLOTS - online - batch);

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
