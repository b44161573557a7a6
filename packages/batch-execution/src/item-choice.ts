/** Pure choice of the next item for a worker. */
import { ChunkPhase, type ActiveChunk, type ItemState } from './active-chunk.js';

/** An executor stops starting items of a job this long after the last contact with its owner. */
export const CONTACT_TIMEOUT_MS = 1500;

export interface ItemChoice {
  chunk: ActiveChunk;
  work: ItemState;
}

/** True while items of the chunk may be started. */
export const mayDispatch = (chunk: ActiveChunk, now: number): boolean =>
  chunk.phase === ChunkPhase.Running && now - chunk.lastContactAt <= CONTACT_TIMEOUT_MS;

/** An item avoids the workers on which it failed while there is another one. */
const canRunOn = (work: ItemState, workerId: string, others: readonly string[]): boolean =>
  !work.failedOn.has(workerId) || others.every((other) => work.failedOn.has(other));

/** Interrupted items stand before fresh ones, so the search ends at the first fresh one that suits. */
const findItem = (
  pending: readonly ItemState[],
  workerId: string,
  others: readonly string[],
): ItemState | undefined => {
  let first: ItemState | undefined;
  for (const work of pending) {
    if (!canRunOn(work, workerId, others)) continue;
    if (work.lastWorker === workerId) return work;
    first ??= work;
    if (work.lastWorker === undefined) break;
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
    const others = workersFor(chunk);
    if (!others.includes(workerId)) continue;
    const work = findItem(chunk.pending, workerId, others);
    if (work !== undefined) return { chunk, work };
  }
  return undefined;
};
