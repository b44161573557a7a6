import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { TransactionalStore } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { err } from 'neverthrow';
import { DirectPathHealth } from './direct-path-health.js';

/** Returns a store whose calls are made by the given peer. */
export type Relay = (peerAddress: string) => TransactionalStore;

export interface RelayedStoreOptions {
  direct: TransactionalStore;
  relay: Relay;
  /** Addresses of entry VMs from which a message arrived recently. */
  listPeers: () => readonly string[];
  timer: Timer;
  random: Random;
  log: Log;
}

/** How a call is made. */
interface Call<T> {
  step: string;
  send: (store: TransactionalStore) => Reply<T>;
  /** Sends the call through a peer; the same as `send` unless it may not wait as long there. */
  sendToPeer: (store: TransactionalStore) => Reply<T>;
  mayRepeat: (fault: Fault) => boolean;
}

/** Maximum wait of a watch through a peer, so that a peer that does not answer is noticed soon. */
const PEER_WATCH_WAIT_MS = 400;

/** Faults caused by the path or the store, not by the call itself. */
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
  message: 'the store is not reachable directly, and there is no peer to relay the call',
});

/** Sends store calls directly, or through a peer while the direct path does not work. */
export class RelayedStore implements TransactionalStore {
  private readonly path = new DirectPathHealth();

  /** The peer that relayed the last call; kept while its calls succeed. */
  private peer: string | undefined;

  private isClosed = false;

  constructor(private readonly options: RelayedStoreOptions) {}

  /** Stops recording the health of the path: calls that fail during shutdown say nothing about it. */
  close(): void {
    this.isClosed = true;
  }

  /** True while the direct path works, and this VM may relay for others. */
  get isDirect(): boolean {
    return this.path.isHealthy;
  }

  readonly get: TransactionalStore['get'] = (key) => this.read('get', (store) => store.get(key));

  readonly list: TransactionalStore['list'] = (prefix, limit, afterKey) =>
    this.read('list', (store) => store.list(prefix, limit, afterKey));

  readonly listStale: TransactionalStore['listStale'] = (prefix, afterKey) =>
    this.read('listStale', (store) => store.listStale(prefix, afterKey));

  readonly watch: TransactionalStore['watch'] = (prefix, afterRevision, waitMs) => {
    const peerWaitMs = Math.min(waitMs, PEER_WATCH_WAIT_MS);
    return this.read(
      'watch',
      (store) => store.watch(prefix, afterRevision, waitMs),
      (store) => store.watch(prefix, afterRevision, peerWaitMs),
    );
  };

  readonly commit: TransactionalStore['commit'] = (transaction) =>
    this.sendWrite('commit', (store) => store.commit(transaction));

  readonly grantLease: TransactionalStore['grantLease'] = (ttlMs) =>
    this.sendWrite('grantLease', (store) => store.grantLease(ttlMs));

  readonly renewLease: TransactionalStore['renewLease'] = (leaseId) =>
    this.sendWrite('renewLease', (store) => store.renewLease(leaseId));

  readonly revokeLease: TransactionalStore['revokeLease'] = (leaseId) =>
    this.sendWrite('revokeLease', (store) => store.revokeLease(leaseId));

  /** Reads have no effect, so they may always be repeated through a peer. */
  private read<T>(
    step: string,
    send: Call<T>['send'],
    sendToPeer: Call<T>['sendToPeer'] = send,
  ): Reply<T> {
    return this.call({ step, send, sendToPeer, mayRepeat: () => true });
  }

  /** Writes are repeated through a peer only if they did not run; otherwise the caller decides. */
  private sendWrite<T>(step: string, send: Call<T>['send']): Reply<T> {
    const mayRepeat = ({ outcome }: Fault): boolean => outcome === Outcome.NotRun;
    return this.call({ step, send, sendToPeer: send, mayRepeat });
  }

  private async call<T>(call: Call<T>): Reply<T> {
    const { direct, timer } = this.options;
    // Without peers the direct path is the only one.
    const hasPeers = this.options.listPeers().length > 0;
    if (hasPeers && !this.path.shouldTry(timer.now())) return this.callPeer(call);
    const reply = await call.send(direct);
    const fault = reply.isErr() ? reply.error : undefined;
    const isPathFault = fault !== undefined && PATH_FAULT_CODES.has(fault.code);
    this.record(isPathFault, fault);
    const shouldUsePeer = isPathFault && call.mayRepeat(fault) && hasPeers && !this.path.isHealthy;
    return shouldUsePeer ? this.callPeer(call) : reply;
  }

  private async callPeer<T>({ step, sendToPeer }: Call<T>): Reply<T> {
    const { relay, random, listPeers } = this.options;
    const peers = listPeers();
    const lastPeer = this.peer !== undefined && peers.includes(this.peer) ? this.peer : undefined;
    const peer = lastPeer ?? (peers.length > 0 ? random.pick(peers) : undefined);
    if (peer === undefined) return err(createFault(step));
    this.peer = peer;
    const reply = await sendToPeer(relay(peer));
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
