/** Rules for dispatch after a shard of workers has changed its owner. */
import { FencingMode, type LoadReport } from '@jujubelanding/types';

/** Time for which an owner that lost its shard may still assume that it holds the lease. */
export const PREVIOUS_LEASE_MS = 6000;

/**
 * Time after the check of its fencing number within which a dispatch has reached the worker or has
 * failed.
 */
export const DISPATCH_TIMEOUT_MS = 2000;

/**
 * Returns the monotonic time from which a new owner may dispatch. Workers that ignore fencing
 * numbers also accept items from the previous owner until its lease and its dispatches have ended.
 */
export const computeDispatchStart = (fencing: FencingMode, ownedSince: number): number =>
  fencing === FencingMode.Checked
    ? ownedSince
    : ownedSince + PREVIOUS_LEASE_MS + DISPATCH_TIMEOUT_MS;

const BATCH_ID_PREFIX = 'batch.';

/**
 * Creates the request id of a batch item. The id contains the dispatching process and is the same
 * for all attempts by that process, so that a worker can reuse the KV cache of an earlier attempt.
 */
export const createBatchRequestId = (
  dispatcherId: string,
  grantId: string,
  index: number,
): string => `${BATCH_ID_PREFIX}${dispatcherId}.${grantId}.${index}`;

/** Returns the batch streams in a load report that another process dispatched. */
export const listForeignStreams = (
  report: Pick<LoadReport, 'streams'> | undefined,
  dispatcherId: string,
): string[] =>
  (report?.streams ?? []).filter(
    (id) => id.startsWith(BATCH_ID_PREFIX) && !id.startsWith(`${BATCH_ID_PREFIX}${dispatcherId}.`),
  );
