/** Compares requested claims with those already recorded; pure functions. */
import type { ClaimEntry } from './claim-encoding.js';

export enum ClaimComparison {
  /** Not recorded yet. */
  New = 'new',
  /** Recorded before by the same call. */
  SameCall = 'own',
  /** Recorded before by another call with the same request. */
  AlreadyClaimed = 'already-claimed',
  /** Recorded before for a different request with the same idempotency key. */
  KeyReused = 'key-reused',
}

/**
 * Number of leading digits by which digests are compared, so that later versions may store only these.
 * A different request with the same key matches in these 64 bits with a probability of 2^-64, and is
 * rejected in that case too.
 */
export const COMPARED_DIGEST_DIGITS = 16;

const isSameDigest = (a: string, b: string): boolean =>
  a.slice(0, COMPARED_DIGEST_DIGITS) === b.slice(0, COMPARED_DIGEST_DIGITS);

/** Compares a claim with the one recorded under its id, if any. */
export const compareClaim = (
  requested: ClaimEntry,
  recorded: ClaimEntry | undefined,
): ClaimComparison => {
  if (recorded === undefined) return ClaimComparison.New;
  if (recorded.token === requested.token) return ClaimComparison.SameCall;
  return isSameDigest(recorded.digest, requested.digest)
    ? ClaimComparison.AlreadyClaimed
    : ClaimComparison.KeyReused;
};

/** Returns the claims to write: the first one of each id that is not recorded yet. */
export const selectUnrecorded = (
  requested: readonly ClaimEntry[],
  recorded: ReadonlyMap<string, ClaimEntry>,
): ClaimEntry[] => {
  const unrecorded = new Map<string, ClaimEntry>();
  for (const claim of requested) {
    if (!recorded.has(claim.claimId) && !unrecorded.has(claim.claimId)) {
      unrecorded.set(claim.claimId, claim);
    }
  }
  return [...unrecorded.values()];
};
