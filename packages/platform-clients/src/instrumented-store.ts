/** Records calls to the key-value service as metrics. */
import type { Reply } from '@jujubelanding/errors';
import type { Metrics } from '@jujubelanding/metrics';
import { WriteStatus, type KeyValueStore } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';

export const CALL_METRIC = 'key_value.call';

/** Values of the tag `outcome` in addition to the outcomes of faults. */
export enum CallOutcome {
  Succeeded = 'succeeded',
  /** A write or removal whose expected revision was not the current one. */
  Conflict = 'conflict',
}

const LEASE_PURPOSE = 'leases';

/** Returns the first segment of a key, such as "jobs" or "claims"; whole keys would be unbounded as a tag. */
const getKeyPurpose = (key: string): string => key.split('/', 1)[0]!;

const isConflict = (value: unknown): boolean =>
  typeof value === 'object' &&
  value !== null &&
  (value as { status?: unknown }).status === WriteStatus.Conflict;

/**
 * Wraps a store so that each call is recorded with its duration, method, purpose and outcome. A watch
 * counts as one call, as it does in the service; its duration includes the wait.
 */
export const instrumentKeyValueStore = <S extends KeyValueStore>(
  store: S,
  timer: Timer,
  metrics: Pick<Metrics, 'timing'>,
): S => {
  const recordCall = async <T>(
    method: keyof KeyValueStore,
    purpose: string,
    call: Reply<T>,
  ): Reply<T> => {
    const startedAt = timer.now();
    const reply = await call;
    const outcome = reply.match<string>(
      (value) => (isConflict(value) ? CallOutcome.Conflict : CallOutcome.Succeeded),
      (fault) => fault.outcome,
    );
    metrics.timing(CALL_METRIC, timer.now() - startedAt, { method, purpose, outcome });
    return reply;
  };
  const instrumented: KeyValueStore = {
    get: (key) => recordCall('get', getKeyPurpose(key), store.get(key)),
    list: (prefix, limit, afterKey) =>
      recordCall('list', getKeyPurpose(prefix), store.list(prefix, limit, afterKey)),
    write: (write) => recordCall('write', getKeyPurpose(write.key), store.write(write)),
    remove: (key, expectedRevision) =>
      recordCall('remove', getKeyPurpose(key), store.remove(key, expectedRevision)),
    grantLease: (ttlMs) => recordCall('grantLease', LEASE_PURPOSE, store.grantLease(ttlMs)),
    renewLease: (leaseId) => recordCall('renewLease', LEASE_PURPOSE, store.renewLease(leaseId)),
    revokeLease: (leaseId) => recordCall('revokeLease', LEASE_PURPOSE, store.revokeLease(leaseId)),
    watch: (prefix, afterRevision, waitMs) =>
      recordCall('watch', getKeyPurpose(prefix), store.watch(prefix, afterRevision, waitMs)),
  };
  return { ...store, ...instrumented };
};
