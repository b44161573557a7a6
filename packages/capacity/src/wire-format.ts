/** Encodes messages between entry VMs as the transport does, to count their bytes. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Datagram } from '@jujubelanding/peer-protocol';
import { Packr } from 'msgpackr';

/** Bytes of the IPv4 and UDP headers of a datagram. */
export const UDP_IP_BYTES = 28;

/** Maximum size of a datagram, without UDP and IP headers. */
export const MAX_DATAGRAM_BYTES = 1200;

/**
 * TCP and IP headers of a call on an open connection: request, response and an acknowledgement of
 * each, 52 bytes with timestamps. Calculated, not measured.
 */
export const TCP_IP_BYTES = 4 * 52;

/** Ethernet payload minus IP and TCP headers; a longer message takes more than one packet. */
export const TCP_SEGMENT_BYTES = 1448;

const TAG_BYTES = 16;
const FLEET_KEY = 'capacity';

const codec = new Packr({ useRecords: false });

const computeTag = (payload: Uint8Array): Buffer =>
  createHmac('sha256', FLEET_KEY).update(payload).digest().subarray(0, TAG_BYTES);

/** Encodes a datagram and adds the authentication tag, as the transport does. */
export const encodeDatagram = (datagram: Datagram): Buffer => {
  const payload = codec.pack(datagram);
  return Buffer.concat([computeTag(payload), payload]);
};

/** Verifies the authentication tag of a datagram and decodes it. */
export const decodeDatagram = (packet: Buffer): Datagram => {
  const payload = packet.subarray(TAG_BYTES);
  if (!timingSafeEqual(packet.subarray(0, TAG_BYTES), computeTag(payload))) {
    throw new Error('the authentication tag of the datagram does not match');
  }
  return codec.unpack(payload) as Datagram;
};

/** Throws if a datagram is so large that it would be fragmented or dropped. */
export const checkDatagramSize = (packet: Buffer, kind: string): void => {
  if (packet.length <= MAX_DATAGRAM_BYTES) return;
  throw new Error(`datagram ${kind} of ${packet.length} bytes exceeds ${MAX_DATAGRAM_BYTES}`);
};
