import type { Reply } from '@jujubelanding/errors';
import type { Datagram, DatagramKind, PeerHandler, PeerMethod } from '@jujubelanding/peer-protocol';
import type { Host } from './host.js';

export interface SegmentHandlers {
  put: (segmentId: string, content: Uint8Array) => Reply<void>;
  get: (segmentId: string) => Reply<Uint8Array>;
}

/** Handlers of the calls, datagrams and segment transfers that a simulated entry VM serves to its peers. */
export class Endpoint {
  readonly methodHandlers = new Map<PeerMethod, PeerHandler<PeerMethod>>();

  readonly datagramHandlers = new Map<DatagramKind, (datagram: Datagram) => void>();

  segments: SegmentHandlers | undefined;

  constructor(readonly host: Host) {}
}
