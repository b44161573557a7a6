/** Pure choice of the next item for a worker. */
import { ChunkPhase, type ActiveChunk, type ItemState } from './active-chunk.js';

/** An executor stops starting items of a job this long after the last contact with its owner. */
export const CONTACT_TIMEOUT_MS = 1500;

export interface ItemChoice {
  chunk: ActiveChunk;
  itemState: ItemState;
}

/** True while items of the chunk may be started. */
export const mayDispatch = (chunk: ActiveChunk, now: number): boolean =>
  chunk.phase === ChunkPhase.Running && now - chunk.lastContactAt <= CONTACT_TIMEOUT_MS;

/** An item avoids the workers on which it failed while there is another one. */
const canRunOn = (itemState: ItemState, workerId: string, eligibleWorkers: readonly string[]): boolean =>
  !itemState.failedOn.has(workerId) || eligibleWorkers.every((eligible) => itemState.failedOn.has(eligible));

/** Interrupted items stand before fresh ones, so the search ends at the first fresh one that suits. */
const findItem = (
  pending: readonly ItemState[],
  workerId: string,
  eligibleWorkers: readonly string[],
): ItemState | undefined => {
  let first: ItemState | undefined;
  for (const itemState of pending) {
    if (!canRunOn(itemState, workerId, eligibleWorkers)) continue;
    if (itemState.lastWorker === workerId) return itemState;
    first ??= itemState;
    if (itemState.lastWorker === undefined) break;
  }
  return first;
};

/**
 * Returns the next item for a worker: of the chunk that is due first, one that has tokens cached on
 * this worker, otherwise the first one.
 */
export const chooseItem = (
  chunks: readonly ActiveChunk[],
  workerId: string,
  workersFor: (chunk: ActiveChunk) => readonly string[],
  now: number,
): ItemChoice | undefined => {
  for (const chunk of chunks) {
    if (chunk.pending.length === 0 || !mayDispatch(chunk, now)) continue;
    const eligibleWorkers = workersFor(chunk);
    if (!eligibleWorkers.includes(workerId)) continue;
    const itemState = findItem(chunk.pending, workerId, eligibleWorkers);
    if (itemState !== undefined) return { chunk, itemState };
  }
  return undefined;
};
