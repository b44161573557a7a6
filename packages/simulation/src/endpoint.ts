import type { Reply } from '@jujubelanding/errors';
import type { Datagram, DatagramKind, PeerHandler, PeerMethod } from '@jujubelanding/peer-protocol';
import type { Host } from './host.js';

export interface SegmentHandlers {
  put: (segmentId: string, content: Uint8Array) => Reply<void>;
  get: (segmentId: string) => Reply<Uint8Array>;
}

/** Everything that a simulated entry VM serves to others. */
export class Endpoint {
  readonly methodHandlers = new Map<PeerMethod, PeerHandler<PeerMethod>>();

  readonly datagramHandlers = new Map<DatagramKind, (datagram: Datagram) => void>();

  segments: SegmentHandlers | undefined;

  constructor(readonly host: Host) {}
}
