/** Verifies the operator token. */
import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;

/**
 * Compares the SHA-256 checksum of the bearer token with the one from the settings, in constant time.
 */
export const isOperator = (authorization: string | undefined, tokenHash: string): boolean => {
  const token = BEARER_PATTERN.exec(authorization ?? '')?.[1] ?? '';
  const given = createHash('sha256').update(token).digest();
  const expected = Buffer.from(tokenHash, 'hex');
  return token !== '' && given.length === expected.length && timingSafeEqual(given, expected);
};
