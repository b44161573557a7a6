/** Datagrams between entry VMs, authenticated with the fleet key. */
import { createSocket, type Socket } from 'node:dgram';
import { getErrorMessage, FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { DatagramKind, type Datagram } from '@jujubelanding/peer-protocol';
import { Packr } from 'msgpackr';
import { err, ok } from 'neverthrow';
import * as z from 'zod';
import { parseAddress, type HostPort } from './address.js';
import { verifyDatagram, signDatagram } from './authentication.js';
import type { HandlerRegistry } from './handler-registry.js';
import { DropReason, type TrafficCounters } from './traffic.js';

export interface DatagramChannelOptions {
  fleetKey: string;
  handlers: HandlerRegistry;
  counters: TrafficCounters;
  log: Log;
}

const datagramSchema = z.looseObject({ kind: z.enum(DatagramKind), from: z.string() });

// Shared record structures would make a packet undecodable without the packets before it.
const codec = new Packr({ useRecords: false });

export class DatagramChannel {
  private socket: Socket | undefined;

  /** Number of datagrams that Node has not handed to the system yet. */
  private sending = 0;

  private resolveSent: (() => void) | undefined;

  constructor(private readonly options: DatagramChannelOptions) {}

  open({ host, port }: HostPort): Reply<void> {
    const socket = createSocket('udp4');
    socket.on('message', (packet) => this.receive(packet));
    return new Promise((resolve) => {
      socket.once('error', (error) => {
        const fault = { code: FaultCode.Unavailable, outcome: Outcome.NotRun, step: 'bindUdp' };
        resolve(err({ ...fault, peer: `${host}:${port}`, message: error.message }));
      });
      socket.bind(port, host, () => {
        socket.removeAllListeners('error');
        // Errors of single datagrams, such as an unreachable port, count as packet loss.
        socket.on('error', () => this.options.counters.countDrop(DropReason.SendFailed));
        this.socket = socket;
        resolve(ok());
      });
    });
  }

  /** Closes the socket once the datagrams sent so far have left; Node would drop them. */
  async close(): Promise<void> {
    const { socket } = this;
    this.socket = undefined;
    if (socket === undefined) return;
    if (this.sending > 0) {
      await new Promise<void>((resolve) => {
        this.resolveSent = resolve;
      });
    }
    await new Promise<void>((resolve) => {
      socket.close(() => resolve());
    });
  }

  send(peerAddress: string, datagram: Datagram): void {
    const { fleetKey, counters } = this.options;
    if (this.socket === undefined) return;
    const packet = signDatagram(fleetKey, codec.pack(datagram));
    const { host, port } = parseAddress(peerAddress);
    counters.countOut(datagram.kind, packet.length);
    try {
      this.socket.send(packet, port, host, (error) => {
        if (error !== null) counters.countDrop(DropReason.SendFailed);
        this.sending -= 1;
        if (this.sending === 0) this.resolveSent?.();
      });
      this.sending += 1;
    } catch {
      // An invalid address is treated like an unreachable one.
      counters.countDrop(DropReason.SendFailed);
    }
  }

  private receive(packet: Buffer): void {
    const { fleetKey, counters, handlers, log } = this.options;
    const payload = verifyDatagram(fleetKey, packet);
    if (payload === undefined) {
      counters.countDrop(DropReason.BadTag);
      return;
    }
    const datagram = this.decode(payload);
    if (datagram === undefined) {
      counters.countDrop(DropReason.Malformed);
      return;
    }
    counters.countIn(datagram.kind, packet.length);
    try {
      handlers.runDatagram(datagram);
    } catch (thrown) {
      log.write('datagramHandlerFailed', { kind: datagram.kind, reason: getErrorMessage(thrown) });
    }
  }

  private decode(payload: Buffer): Datagram | undefined {
    try {
      const parsed = datagramSchema.safeParse(codec.unpack(payload));
      return parsed.success ? (parsed.data as unknown as Datagram) : undefined;
    } catch {
      return undefined;
    }
  }
}
