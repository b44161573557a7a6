/** Network between simulated entry VMs: delays, cuts, lost datagrams, crashed and paused receivers. */
import { err, type Result } from 'neverthrow';
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import {
  PEER_CALL_TIMEOUT_MS,
  type Datagram,
  type DatagramHandler,
  type DatagramKind,
  type PeerCalls,
  type PeerHandler,
  type PeerMethod,
  type PeerNetwork,
} from '@jujubelanding/peer-protocol';
import type { PeerAddress } from '@jujubelanding/types';
import { Endpoint, type SegmentHandlers } from './endpoint.js';
import { HostState, type Host } from './host.js';
import type { NetworkState } from './network-state.js';

const createFault = (step: string, peer: string, outcome: Outcome): Fault => ({
  code: outcome === Outcome.NotRun ? FaultCode.Unavailable : FaultCode.Timeout,
  outcome,
  step,
  peer,
  message: outcome === Outcome.NotRun ? 'connection refused' : 'no reply within the timeout',
});

const increment = (counters: Map<string, number>, name: string): void => {
  counters.set(name, (counters.get(name) ?? 0) + 1);
};

/** Network interface of one entry VM. */
export class SimulatedNetwork implements PeerNetwork {
  private readonly endpoint: Endpoint;

  constructor(
    private readonly networkState: NetworkState,
    private readonly host: Host,
    address: string,
  ) {
    this.endpoint = new Endpoint(host);
    networkState.endpoints.set(address, this.endpoint);
  }

  call<M extends PeerMethod>(
    peer: PeerAddress,
    method: M,
    input: PeerCalls[M]['input'],
    timeoutMs = PEER_CALL_TIMEOUT_MS,
  ): Reply<PeerCalls[M]['output']> {
    increment(this.networkState.traffic.calls, method);
    return this.sendRequest(peer, method, timeoutMs, (endpoint) => {
      const handler = endpoint.methodHandlers.get(method);
      return handler?.(structuredClone(input));
    });
  }

  send(peerAddress: string, datagram: Datagram): void {
    const { networkState, host } = this;
    const endpoint = networkState.endpoints.get(peerAddress);
    increment(networkState.traffic.datagrams, datagram.kind);
    if (
      endpoint === undefined ||
      networkState.random.next() < networkState.links.datagramLossChance
    ) {
      return;
    }
    const copy = structuredClone(datagram);
    networkState.timer.after(networkState.links.getDelayMs(host.id, endpoint.host.id), () => {
      if (networkState.links.isCut(host.id, endpoint.host.id)) return;
      endpoint.host.deliver(() => endpoint.datagramHandlers.get(copy.kind)?.(copy));
    });
  }

  putSegment(peer: PeerAddress, segmentId: string, content: Uint8Array): Reply<void> {
    return this.sendRequest(peer, 'putSegment', PEER_CALL_TIMEOUT_MS, (endpoint) =>
      endpoint.segments?.put(segmentId, content),
    );
  }

  getSegment(peer: PeerAddress, segmentId: string): Reply<Uint8Array> {
    return this.sendRequest(peer, 'getSegment', PEER_CALL_TIMEOUT_MS, (endpoint) =>
      endpoint.segments?.get(segmentId),
    );
  }

  handle<M extends PeerMethod>(method: M, handler: PeerHandler<M>): void {
    this.endpoint.methodHandlers.set(method, handler as unknown as PeerHandler<PeerMethod>);
  }

  handleDatagram<K extends DatagramKind>(kind: K, handler: DatagramHandler<K>): void {
    this.endpoint.datagramHandlers.set(kind, handler as (datagram: Datagram) => void);
  }

  handleSegments(handlers: SegmentHandlers): void {
    this.endpoint.segments = handlers;
  }

  /** Sends a request, runs the handler on the peer and returns its reply; each direction has its delay. */
  private sendRequest<T>(
    peer: PeerAddress,
    step: string,
    timeoutMs: number,
    handle: (endpoint: Endpoint) => Reply<T> | undefined,
  ): Reply<T> {
    const { timer } = this.networkState;
    return new Promise((resolve) => {
      let settled = false;
      const settle = (result: Result<T, Fault>): void => {
        if (settled) return;
        settled = true;
        this.host.deliver(() => resolve(result));
      };
      const timeout = timer.after(timeoutMs, () =>
        settle(err(createFault(step, peer.entryVmId, Outcome.OutcomeUnknown))),
      );
      const finish = (result: Result<T, Fault>): void => {
        timeout.cancel();
        settle(result);
      };
      this.deliverRequest(peer, step, handle, finish);
    });
  }

  private deliverRequest<T>(
    peer: PeerAddress,
    step: string,
    handle: (endpoint: Endpoint) => Reply<T> | undefined,
    finish: (result: Result<T, Fault>) => void,
  ): void {
    const { timer, links, endpoints } = this.networkState;
    const endpoint = endpoints.get(peer.peerAddress);
    const target = endpoint?.host.id ?? peer.entryVmId;
    const delay = links.getDelayMs(this.host.id, target);
    const refuseConnection = (): void =>
      finish(err(createFault(step, peer.entryVmId, Outcome.NotRun)));
    timer.after(delay, () => {
      if (links.isCut(this.host.id, target)) return;
      if (endpoint === undefined || endpoint.host.state() === HostState.Crashed) {
        timer.after(delay, refuseConnection);
        return;
      }
      endpoint.host.deliver(() => {
        const reply = handle(endpoint);
        if (reply === undefined) {
          timer.after(delay, refuseConnection);
          return;
        }
        void reply.then((result) =>
          timer.after(delay, () => {
            if (endpoint.host.state() === HostState.Crashed) return;
            if (!links.isCut(target, this.host.id)) finish(result);
          }),
        );
      });
    });
  }
}
