import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { TransactionalStore } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err } from 'neverthrow';
import { DirectPathHealth } from './direct-path-health.js';

/** Calls that a peer makes on behalf of this VM. */
export type Relay = (peerAddress: string) => TransactionalStore;

export interface RelayedStoreOptions {
  direct: TransactionalStore;
  relay: Relay;
  /** Addresses of entry VMs that were heard lately. */
  listPeers: () => readonly string[];
  timer: Timer;
  random: Random;
  log: Log;
}

type Send<T> = (store: TransactionalStore) => Reply<T>;

/** Faults that say something about the path or the store, not about the call. */
const PATH_FAULT_CODES = new Set([
  FaultCode.Unavailable,
  FaultCode.Interrupted,
  FaultCode.Timeout,
  FaultCode.Overloaded,
  FaultCode.RateLimited,
]);

const createFault = (step: string): Fault => ({
  code: FaultCode.Unavailable,
  outcome: Outcome.NotRun,
  step,
  message: 'neither the own path to the store nor one through a peer works',
});

/** The store by the path that works. */
export class RelayedStore implements TransactionalStore {
  private readonly path = new DirectPathHealth();

  /** The peer that relayed last. */
  private peer: string | undefined;

  private isClosed = false;

  constructor(private readonly options: RelayedStoreOptions) {}

  /** Calls that end with the process say nothing about the path. */
  close(): void {
    this.isClosed = true;
  }

  /** True while this VM may relay for others. */
  get isDirect(): boolean {
    return this.path.isHealthy;
  }

  readonly get: TransactionalStore['get'] = (key) => this.read('get', (store) => store.get(key));

  readonly list: TransactionalStore['list'] = (prefix, limit, afterKey) =>
    this.read('list', (store) => store.list(prefix, limit, afterKey));

  readonly watch: TransactionalStore['watch'] = (prefix, afterRevision, waitMs) =>
    this.read('watch', (store) => store.watch(prefix, afterRevision, waitMs));

  readonly commit: TransactionalStore['commit'] = (transaction) =>
    this.sendWrite('commit', (store) => store.commit(transaction));

  readonly grantLease: TransactionalStore['grantLease'] = (ttlMs) =>
    this.sendWrite('grantLease', (store) => store.grantLease(ttlMs));

  readonly renewLease: TransactionalStore['renewLease'] = (leaseId) =>
    this.sendWrite('renewLease', (store) => store.renewLease(leaseId));

  readonly revokeLease: TransactionalStore['revokeLease'] = (leaseId) =>
    this.sendWrite('revokeLease', (store) => store.revokeLease(leaseId));

  /** A read may be repeated by another path whatever became of it. */
  private read<T>(step: string, send: Send<T>): Reply<T> {
    return this.call(step, send, () => true);
  }

  /** The caller decides on a change that may have taken effect. */
  private sendWrite<T>(step: string, send: Send<T>): Reply<T> {
    return this.call(step, send, ({ outcome }) => outcome === Outcome.NotRun);
  }

  private async call<T>(
    step: string,
    send: Send<T>,
    mayRepeat: (fault: Fault) => boolean,
  ): Reply<T> {
    const { direct, timer } = this.options;
    // Without peers the own path is the only one.
    const hasPeers = this.options.listPeers().length > 0;
    if (hasPeers && !this.path.shouldTry(timer.now())) return this.callPeer(step, send);
    const reply = await send(direct);
    const fault = reply.isErr() ? reply.error : undefined;
    const isPathFault = fault !== undefined && PATH_FAULT_CODES.has(fault.code);
    this.record(isPathFault, fault);
    const shouldUsePeer = isPathFault && mayRepeat(fault) && hasPeers && !this.path.isHealthy;
    return shouldUsePeer ? this.callPeer(step, send) : reply;
  }

  private async callPeer<T>(step: string, send: Send<T>): Reply<T> {
    const { relay, random, listPeers } = this.options;
    const peers = listPeers();
    const lastPeer = this.peer !== undefined && peers.includes(this.peer) ? this.peer : undefined;
    const peer = lastPeer ?? (peers.length > 0 ? random.pick(peers) : undefined);
    if (peer === undefined) return err(createFault(step));
    this.peer = peer;
    const reply = await send(relay(peer));
    if (reply.isErr()) this.peer = undefined;
    return reply;
  }

  private record(isPathFault: boolean, fault: Fault | undefined): void {
    if (this.isClosed) return;
    const wasHealthy = this.path.isHealthy;
    if (isPathFault) this.path.recordFailure(this.options.timer.now());
    else this.path.recordSuccess();
    if (wasHealthy === this.path.isHealthy) return;
    const event = this.path.isHealthy ? 'store-path-regained' : 'store-path-lost';
    this.options.log.write(event, { code: fault?.code, message: fault?.message });
  }
}
