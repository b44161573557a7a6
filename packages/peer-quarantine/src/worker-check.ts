import { FaultCode } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import { ConnectionResult } from '@jujubelanding/platform';
import type { Worker } from '@jujubelanding/types';

/** A worker that has not answered after this time counts as silent. */
const TIMEOUT_MS = 300;

/** Sequence number after which a report has no cache events. */
const NO_CACHE_EVENTS = Number.MAX_SAFE_INTEGER;

/** Results by the code of a fault; with any other one, the worker has answered. */
const RESULT_BY_CODE: Partial<Record<FaultCode, ConnectionResult>> = {
  [FaultCode.Unavailable]: ConnectionResult.Refused,
  [FaultCode.Interrupted]: ConnectionResult.Closed,
  [FaultCode.Timeout]: ConnectionResult.Silent,
};

/** Finds out by a call for its load report whether a worker responds. */
export const checkWorker = async (
  { timer, backendServers }: Pick<EntryVmIo, 'timer' | 'backendServers'>,
  worker: Worker,
): Promise<ConnectionResult> => {
  const call = backendServers.readLoad(worker, NO_CACHE_EVENTS).then((reply) =>
    reply.match(
      () => ConnectionResult.Accepted,
      ({ code }) => RESULT_BY_CODE[code] ?? ConnectionResult.Accepted,
    ),
  );
  return Promise.race([call, timer.sleep(TIMEOUT_MS).then(() => ConnectionResult.Silent)]);
};
