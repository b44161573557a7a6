/** Network between entry VMs: calls over HTTP and datagrams over UDP on the same port number. */
import type { Reply } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import { PEER_CALL_TIMEOUT_MS, type PeerNetwork } from '@jujubelanding/peer-protocol';
import type { Timer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { parseAddress, type HostPort } from './address.js';
import { DatagramChannel } from './datagram-channel.js';
import { HandlerRegistry } from './handler-registry.js';
import { PeerCaller } from './peer-caller.js';
import { PeerServer, type PeerServerOptions } from './peer-server.js';
import { TrafficCounters, type TransportCounters } from './traffic.js';

export interface PeerNetworkOptions {
  /** host:port to listen on; port 0 selects a free port. */
  address: string;
  /** Secret shared by all entry VMs. */
  fleetKey: string;
  log: Log;
  timer: Timer;
  /** Bounds on the connections of peers; none if undefined. */
  guard?: PeerServerOptions['guard'];
}

export interface PeerTransport {
  network: PeerNetwork;
  /** Starts listening and returns the bound host:port. */
  start(): Reply<string>;
  /** Waits for calls in progress and then closes all connections. */
  stop(): Promise<void>;
  /** Returns the bound host:port, or undefined before the start. */
  address(): string | undefined;
  counters(): TransportCounters;
}

/** Maximum number of attempts to find a port that is free for both TCP and UDP. */
const PORT_ATTEMPTS = 10;

interface Listeners {
  server: PeerServer;
  channel: DatagramChannel;
}

const bind = async ({ server, channel }: Listeners, { host, port }: HostPort): Reply<string> => {
  const listening = await server.open({ host, port });
  if (listening.isErr()) return err(listening.error);
  const bound = await channel.open({ host, port: listening.value });
  if (bound.isOk()) return ok(`${host}:${listening.value}`);
  await server.close();
  return err(bound.error);
};

const bindWithRetries = async (listeners: Listeners, requested: HostPort): Reply<string> => {
  let result = await bind(listeners, requested);
  const attempts = requested.port === 0 ? PORT_ATTEMPTS : 1;
  for (let attempt = 1; attempt < attempts && result.isErr(); attempt += 1) {
    result = await bind(listeners, requested);
  }
  return result;
};

/** Creates the network of one entry VM. */
export const createPeerNetwork = (options: PeerNetworkOptions): PeerTransport => {
  const { fleetKey, timer, log, guard } = options;
  const handlers = new HandlerRegistry();
  const counters = new TrafficCounters();
  const channel = new DatagramChannel({ fleetKey, handlers, counters, log });
  const server = new PeerServer({ fleetKey, handlers, counters, timer, log, guard });
  const caller = new PeerCaller({ fleetKey, counters, timer });
  let boundAddress: string | undefined;
  return {
    network: {
      call: (peer, method, input, timeoutMs = PEER_CALL_TIMEOUT_MS) =>
        caller.call(peer, method, input, timeoutMs),
      send: (peerAddress, datagram) => channel.send(peerAddress, datagram),
      putSegment: (peer, segmentId, content) => caller.putSegment(peer, segmentId, content),
      getSegment: (peer, segmentId) => caller.getSegment(peer, segmentId),
      handle: (method, handler) => handlers.setCallHandler(method, handler),
      handleDatagram: (kind, handler) => handlers.setDatagramHandler(kind, handler),
      handleSegments: (segments) => {
        handlers.segments = segments;
      },
    },
    start: async () => {
      const bound = await bindWithRetries({ server, channel }, parseAddress(options.address));
      bound.map((address) => {
        boundAddress = address;
        log.write('peerNetworkStarted', { address });
        return address;
      });
      return bound;
    },
    stop: async () => {
      await Promise.all([server.close(), channel.close()]);
      await caller.close();
    },
    address: () => boundAddress,
    counters: () => counters.read(),
  };
};
