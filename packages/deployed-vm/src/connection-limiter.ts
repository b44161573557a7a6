/** Limits connections so that all entry VMs together stay within the connection limit of a worker. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { RequestForwarder } from '@jujubelanding/platform';
import type { Worker } from '@jujubelanding/types';
import { err } from 'neverthrow';

/**
 * Lower bound of the limit of a VM, so that a VM can handle a burst. Workers reset connections beyond
 * their own limit.
 */
const MIN_CONNECTIONS_PER_VM = 4;

/**
 * Fraction of a worker's connections that requests may use; the rest is for idle connections, which
 * count too.
 */
const USABLE_FRACTION = 0.9;

export const computeConnectionLimit = (maxConnections: number, entryVms: number): number =>
  Math.max(
    MIN_CONNECTIONS_PER_VM,
    Math.floor((maxConnections * USABLE_FRACTION) / Math.max(1, entryVms)),
  );

export interface ConnectionLimiterOptions {
  backends: RequestForwarder;
  /** Number of connections that a worker of the service accepts in total. */
  maxConnectionsOf: (service: string) => number | undefined;
  countEntryVms: () => number;
}

const createFault = (worker: Worker): Fault => ({
  code: FaultCode.Overloaded,
  outcome: Outcome.NotRun,
  step: 'connection-share',
  peer: worker.id,
  message: `all connections of this VM to ${worker.id} are in use`,
});

/**
 * Refuses requests beyond this VM's limit of connections to a worker, so that another worker is tried.
 */
export class ConnectionLimiter implements RequestForwarder {
  /** Number of requests in progress by worker id; each uses its own connection. */
  private readonly inProgress = new Map<string, number>();

  constructor(private readonly options: ConnectionLimiterOptions) {}

  readonly forward: RequestForwarder['forward'] = async (worker, request, receiver, signal) => {
    const { backends, maxConnectionsOf, countEntryVms } = this.options;
    const count = this.inProgress.get(worker.id) ?? 0;
    const max = maxConnectionsOf(worker.service);
    if (max !== undefined && count >= computeConnectionLimit(max, countEntryVms())) {
      return err(createFault(worker));
    }
    this.inProgress.set(worker.id, count + 1);
    try {
      return await backends.forward(worker, request, receiver, signal);
    } finally {
      this.release(worker.id);
    }
  };

  close(): Promise<void> {
    return this.options.backends.close();
  }

  private release(workerId: string): void {
    const remaining = (this.inProgress.get(workerId) ?? 1) - 1;
    if (remaining === 0) this.inProgress.delete(workerId);
    else this.inProgress.set(workerId, remaining);
  }
}
