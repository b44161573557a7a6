/** Simulated network of one VM that encodes, counts and decodes its messages. */
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

/** One-way delay of all messages. */
const DELAY_MS = 1.5;

export interface NetworkUsage {
  bytesOut: number;
  bytesIn: number;
  messagesOut: number;
  messagesIn: number;
}

export const createNetworkUsage = (): NetworkUsage => ({
  bytesOut: 0,
  bytesIn: 0,
  messagesOut: 0,
  messagesIn: 0,
});

type AnyHandler = (input: unknown) => Reply<unknown>;

interface NetworkEndpoint {
  receive(packet: Buffer): void;
  findMethod(method: PeerMethod): AnyHandler | undefined;
}

/** State that all networks of a simulation share. */
export interface NetworkGroup {
  readonly timer: Timer;
  readonly networks: ReadonlyMap<string, NetworkEndpoint>;
  /** Records the size of a sent datagram, without UDP and IP headers. */
  countDatagram(bytes: number): void;
}

/** The network as seen from one VM. */
export class MeteredNetwork implements PeerNetwork {
  usage = createNetworkUsage();

  /** Calls sent, by method. */
  readonly calls = new Map<PeerMethod, number>();

  private readonly datagramHandlers = new Map<DatagramKind, (datagram: Datagram) => void>();

  private readonly methodHandlers = new Map<PeerMethod, AnyHandler>();

  constructor(private readonly group: NetworkGroup) {}

  send(peerAddress: string, datagram: Datagram): void {
    const packet = encodeDatagram(datagram);
    this.group.countDatagram(packet.length);
    this.usage.bytesOut += packet.length + UDP_IP_BYTES;
    this.usage.messagesOut += 1;
    const target = this.group.networks.get(peerAddress);
    if (target !== undefined) this.group.timer.after(DELAY_MS, () => target.receive(packet));
  }

  async call<M extends PeerMethod>(
    peer: PeerAddress,
    method: M,
    input: PeerCalls[M]['input'],
  ): Reply<PeerCalls[M]['output']> {
    this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
    const handler = this.group.networks.get(peer.peerAddress)?.findMethod(method);
    if (handler === undefined) throw new Error(`${method} has no handler at ${peer.peerAddress}`);
    await this.group.timer.sleep(2 * DELAY_MS);
    return (await handler(input)) as Awaited<Reply<PeerCalls[M]['output']>>;
  }

  handle<M extends PeerMethod>(method: M, handler: PeerHandler<M>): void {
    this.methodHandlers.set(method, handler as unknown as AnyHandler);
  }

  handleDatagram<K extends DatagramKind>(kind: K, handler: DatagramHandler<K>): void {
    this.datagramHandlers.set(kind, handler as (datagram: Datagram) => void);
  }

  putSegment(): Reply<void> {
    throw new Error('this network does not transfer segments');
  }

  getSegment(): Reply<Uint8Array> {
    throw new Error('this network does not transfer segments');
  }

  handleSegments(): void {}

  findMethod(method: PeerMethod): AnyHandler | undefined {
    return this.methodHandlers.get(method);
  }

  receive(packet: Buffer): void {
    this.usage.bytesIn += packet.length + UDP_IP_BYTES;
    this.usage.messagesIn += 1;
    const datagram = decodeDatagram(packet);
    this.datagramHandlers.get(datagram.kind)?.(datagram);
  }
}
