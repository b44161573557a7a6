/** Bounded subset of the workers that one entry VM uses. */
import { rankNodes } from '@jujubelanding/random';
import type { Worker } from '@jujubelanding/types';

/**
 * Maximum workers of its own zone that a VM uses per service. Notices go to the owners of all
 * workers in use, so without a limit their traffic would grow with the fleet. Fleets with up to 6
 * workers per service and zone are not affected.
 */
export const MAX_LOCAL_WORKERS = 6;

/** Maximum workers of other zones that a VM considers; they are used only on spillover. */
export const MAX_REMOTE_WORKERS = 12;

const limitWorkers = (
  workers: readonly Worker[],
  maximum: number,
  subsetKey: string,
): readonly Worker[] => {
  if (workers.length <= maximum) return workers;
  const ids = workers.map(({ id }) => id);
  const chosen = new Set(rankNodes(subsetKey, ids).slice(0, maximum));
  return workers.filter(({ id }) => chosen.has(id));
};

/**
 * Selects by rendezvous hashing: VMs select different subsets, and adding or removing a worker
 * changes at most one member of a subset.
 */
export const selectSubset = (
  workers: readonly Worker[],
  availabilityZone: string,
  subsetKey: string,
): Worker[] => {
  const local = workers.filter((worker) => worker.availabilityZone === availabilityZone);
  const remote = workers.filter((worker) => worker.availabilityZone !== availabilityZone);
  return [
    ...limitWorkers(local, MAX_LOCAL_WORKERS, subsetKey),
    ...limitWorkers(remote, MAX_REMOTE_WORKERS, subsetKey),
  ];
};
