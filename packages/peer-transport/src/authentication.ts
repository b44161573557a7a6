/** Authenticates messages as sent by an entry VM of the same fleet. */
import { createHmac, timingSafeEqual } from 'node:crypto';

/** Length of the truncated HMAC that precedes each datagram. */
export const DATAGRAM_TAG_BYTES = 16;

const TOKEN_PURPOSE = 'jujubelanding peer calls';

/** Derives the bearer token of calls, so that the fleet key itself is never sent. */
export const deriveBearerToken = (fleetKey: string): string =>
  createHmac('sha256', fleetKey).update(TOKEN_PURPOSE).digest('hex');

/** Compares secrets in constant time. */
export const isSameSecret = (expected: string, actual: string): boolean => {
  const [a, b] = [Buffer.from(expected), Buffer.from(actual)];
  return a.length === b.length && timingSafeEqual(a, b);
};

const computeTag = (fleetKey: string, payload: Uint8Array): Buffer =>
  createHmac('sha256', fleetKey).update(payload).digest().subarray(0, DATAGRAM_TAG_BYTES);

/** Prefixes a payload with its authentication tag. */
export const signDatagram = (fleetKey: string, payload: Uint8Array): Buffer =>
  Buffer.concat([computeTag(fleetKey, payload), payload]);

/** Returns the payload of a packet, or undefined if its tag is wrong. */
export const verifyDatagram = (fleetKey: string, packet: Buffer): Buffer | undefined => {
  if (packet.length < DATAGRAM_TAG_BYTES) return undefined;
  const payload = packet.subarray(DATAGRAM_TAG_BYTES);
  const tag = packet.subarray(0, DATAGRAM_TAG_BYTES);
  return timingSafeEqual(tag, computeTag(fleetKey, payload)) ? payload : undefined;
};
