import type { Reply } from '@jujubelanding/errors';
import type { PeerAddress } from '@jujubelanding/types';
import type { PeerCalls, PeerMethod } from './calls.js';
import type { Datagram, DatagramKind } from './datagrams.js';

export type PeerHandler<M extends PeerMethod> = (
  input: PeerCalls[M]['input'],
) => Reply<PeerCalls[M]['output']>;

export type DatagramHandler<K extends DatagramKind> = (
  datagram: Extract<Datagram, { kind: K }>,
) => void;

/** Default time after which a call between entry VMs fails with outcome `outcome-unknown`. */
export const PEER_CALL_TIMEOUT_MS = 1000;

/** Carries messages between entry VMs. */
export interface PeerNetwork {
  call<M extends PeerMethod>(
    peer: PeerAddress,
    method: M,
    input: PeerCalls[M]['input'],
    timeoutMs?: number,
  ): Reply<PeerCalls[M]['output']>;
  /** Sends a datagram to host:port; loss is not reported. */
  send(peerAddress: string, datagram: Datagram): void;
  putSegment(peer: PeerAddress, segmentId: string, content: Uint8Array): Reply<void>;
  getSegment(peer: PeerAddress, segmentId: string): Reply<Uint8Array>;
  /** Registers the handler of a method in this VM. */
  handle<M extends PeerMethod>(method: M, handler: PeerHandler<M>): void;
  handleDatagram<K extends DatagramKind>(kind: K, handler: DatagramHandler<K>): void;
  /** Registers the handlers of segment transfers; only VMs with a disk have them. */
  handleSegments(handlers: {
    put: (segmentId: string, content: Uint8Array) => Reply<void>;
    get: (segmentId: string) => Reply<Uint8Array>;
  }): void;
}
