/** Network between parts of simulated VMs that encodes, counts and decodes what it carries. */
import type {
  Datagram,
  DatagramHandler,
  DatagramKind,
  PeerCalls,
  PeerHandler,
  PeerMethod,
  PeerNetwork,
} from '@jujubelanding/peer-protocol';
import type { Reply } from '@jujubelanding/errors';
import type { Timer } from '@jujubelanding/timer';
import type { PeerAddress } from '@jujubelanding/types';
import { decodeDatagram, encodeDatagram, UDP_IP_BYTES } from './wire-format.js';

const DELAY_MS = 1.5;

export interface Usage {
  bytesOut: number;
  bytesIn: number;
  messagesOut: number;
  messagesIn: number;
}

export const createUsage = (): Usage => ({
  bytesOut: 0,
  bytesIn: 0,
  messagesOut: 0,
  messagesIn: 0,
});

type AnyHandler = (input: unknown) => Reply<unknown>;

interface Receiver {
  receive(packet: Buffer): void;
  findMethod(method: PeerMethod): AnyHandler | undefined;
}

/** What all networks of a simulation share. */
export interface Medium {
  readonly timer: Timer;
  readonly networks: ReadonlyMap<string, Receiver>;
  /** Counts a sent datagram without UDP and IP headers. */
  countDatagram(bytes: number): void;
}

/** The network as seen from one VM. */
export class WireNetwork implements PeerNetwork {
  usage = createUsage();

  /** Calls sent, by method. */
  readonly calls = new Map<PeerMethod, number>();

  private readonly datagrams = new Map<DatagramKind, (datagram: Datagram) => void>();

  private readonly methods = new Map<PeerMethod, AnyHandler>();

  constructor(private readonly wire: Medium) {}

  send(peerAddress: string, datagram: Datagram): void {
    const packet = encodeDatagram(datagram);
    this.wire.countDatagram(packet.length);
    this.usage.bytesOut += packet.length + UDP_IP_BYTES;
    this.usage.messagesOut += 1;
    const target = this.wire.networks.get(peerAddress);
    if (target !== undefined) this.wire.timer.after(DELAY_MS, () => target.receive(packet));
  }

  async call<M extends PeerMethod>(
    peer: PeerAddress,
    method: M,
    input: PeerCalls[M]['input'],
  ): Reply<PeerCalls[M]['output']> {
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
    const handler = this.wire.networks.get(peer.peerAddress)?.findMethod(method);
    if (handler === undefined) throw new Error(`no handler for ${method} at ${peer.peerAddress}`);
    await this.wire.timer.sleep(2 * DELAY_MS);
    return (await handler(input)) as Awaited<Reply<PeerCalls[M]['output']>>;
  }

  handle<M extends PeerMethod>(method: M, handler: PeerHandler<M>): void {
    this.methods.set(method, handler as unknown as AnyHandler);
  }

  handleDatagram<K extends DatagramKind>(kind: K, handler: DatagramHandler<K>): void {
    this.datagrams.set(kind, handler as (datagram: Datagram) => void);
  }

  putSegment(): Reply<void> {
    throw new Error('segments are not part of this simulation');
  }

  getSegment(): Reply<Uint8Array> {
    throw new Error('segments are not part of this simulation');
  }

  handleSegments(): void {}

  findMethod(method: PeerMethod): AnyHandler | undefined {
    return this.methods.get(method);
  }

  receive(packet: Buffer): void {
    this.usage.bytesIn += packet.length + UDP_IP_BYTES;
    this.usage.messagesIn += 1;
    const datagram = decodeDatagram(packet);
    this.datagrams.get(datagram.kind)?.(datagram);
  }
}
