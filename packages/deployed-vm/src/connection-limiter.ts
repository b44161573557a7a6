/** Keeps the entry VMs together within the connections that a worker accepts. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { RequestForwarder } from '@jujubelanding/platform';
import type { Worker } from '@jujubelanding/types';
import { err } from 'neverthrow';

/** A small share still carries a burst on one VM; workers reset connections beyond their limit. */
const MIN_CONNECTIONS_PER_VM = 4;

/** Share of a worker's connections that the VMs use, since some that are idle count as well. */
const USABLE_FRACTION = 0.9;

export const computeConnectionLimit = (maxConnections: number, entryVms: number): number =>
  Math.max(
    MIN_CONNECTIONS_PER_VM,
    Math.floor((maxConnections * USABLE_FRACTION) / Math.max(1, entryVms)),
  );

export interface ConnectionLimiterOptions {
  backends: RequestForwarder;
  /** Connections that a worker of the service accepts from all callers together. */
  maxConnectionsOf: (service: string) => number | undefined;
  countEntryVms: () => number;
}

const createFault = (worker: Worker): Fault => ({
  code: FaultCode.Overloaded,
  outcome: Outcome.NotRun,
  step: 'connection-share',
  peer: worker.id,
  message: `this VM's share of connections to ${worker.id} is in use`,
});

/** Refuses requests beyond this VM's share of a worker's connections, so that another is tried. */
export class ConnectionLimiter implements RequestForwarder {
  /** Requests in progress by worker; each has a connection of its own. */
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
