/** Rules for the time after a shard of workers has changed its owner. */
import { FencingMode, type LoadReport } from '@jujubelanding/types';

/** Time for which an owner that lost its shard may still believe to hold it. */
export const PREVIOUS_LEASE_MS = 6000;
/**
 * Within this time after its check of the fencing number, a dispatch has reached the worker or
 * failed.
 */
export const DISPATCH_TIMEOUT_MS = 2000;

/**
 * Returns the monotonic time from which a new owner may dispatch. Workers that ignore fencing
 * numbers would accept items from the old owner too, until its lease and its dispatches have ended.
 */
export const computeDispatchStart = (fencing: FencingMode, ownedSince: number): number =>
  fencing === FencingMode.Checked
    ? ownedSince
    : ownedSince + PREVIOUS_LEASE_MS + DISPATCH_TIMEOUT_MS;

const BATCH_ID_PREFIX = 'batch.';

/**
 * Creates the request id of a batch item. It names the dispatching process and stays the same over
 * all attempts there, so that a worker finds the KV cache of an earlier attempt.
 */
export const createBatchRequestId = (
  dispatcherId: string,
  grantId: string,
  index: number,
): string => `${BATCH_ID_PREFIX}${dispatcherId}.${grantId}.${index}`;

/** Returns the batch streams of a report that were dispatched by another process. */
export const listForeignStreams = (
  report: Pick<LoadReport, 'streams'> | undefined,
  dispatcherId: string,
): string[] =>
  (report?.streams ?? []).filter(
    (id) => id.startsWith(BATCH_ID_PREFIX) && !id.startsWith(`${BATCH_ID_PREFIX}${dispatcherId}.`),
  );
