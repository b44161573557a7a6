/** Check of the operator token. */
import { createHash, timingSafeEqual } from 'node:crypto';

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;

/**
 * Compares the token's SHA-256 checksum with the one from the settings, in a time that does not depend
 * on where they differ.
 */
export const hasOperatorToken = (authorization: string | undefined, tokenHash: string): boolean => {
  const token = BEARER_PATTERN.exec(authorization ?? '')?.[1] ?? '';
  const given = createHash('sha256').update(token).digest();
  const expected = Buffer.from(tokenHash, 'hex');
  return token !== '' && given.length === expected.length && timingSafeEqual(given, expected);
};
