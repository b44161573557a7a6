/** Chooses the next item for a worker, as a pure function. */
import { ChunkPhase, type ActiveChunk, type ItemExecutionState } from './active-chunk.js';

/** An executor starts no items of a chunk when its last contact with the job owner is older than this. */
export const CONTACT_TIMEOUT_MS = 1500;

export interface ItemChoice {
  chunk: ActiveChunk;
  state: ItemExecutionState;
}

/** Returns true while items of the chunk may be started. */
export const mayDispatch = (chunk: ActiveChunk, now: number): boolean =>
  chunk.phase === ChunkPhase.Running && now - chunk.lastContactAt <= CONTACT_TIMEOUT_MS;

/** Rejects workers on which the item has failed, unless it has failed on all eligible workers. */
const canRunOn = (
  state: ItemExecutionState,
  workerId: string,
  eligibleWorkers: readonly string[],
): boolean =>
  !state.failedOn.has(workerId) ||
  eligibleWorkers.every((eligible) => state.failedOn.has(eligible));

/** Interrupted items precede new ones, so the search ends at the first new item that can run here. */
const findItem = (
  pending: readonly ItemExecutionState[],
  workerId: string,
  eligibleWorkers: readonly string[],
  now: number,
): ItemExecutionState | undefined => {
  let first: ItemExecutionState | undefined;
  for (const state of pending) {
    if (state.notBefore > now || !canRunOn(state, workerId, eligibleWorkers)) continue;
    if (state.lastWorker === workerId) return state;
    first ??= state;
    if (state.lastWorker === undefined) break;
  }
  return first;
};

/**
 * Returns the next item for a worker, from the first chunk in `chunks` that has one: preferably an
 * item whose tokens are cached on this worker, otherwise the first item that can run there.
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
    const state = findItem(chunk.pending, workerId, eligibleWorkers, now);
    if (state !== undefined) return { chunk, state };
  }
  return undefined;
};
