/** Decision of a group of claims against those already recorded; pure. */
import type { ClaimEntry } from './claim-encoding.js';

export enum ClaimComparison {
  /** To be recorded with this group. */
  New = 'new',
  /** Recorded earlier by the same call. */
  SameCall = 'own',
  AlreadyClaimed = 'already-claimed',
  /** Recorded earlier for another request under the same key. */
  KeyReused = 'key-reused',
}

/**
 * Digits that digests are compared by, so that later versions can store no more. Other requests under
 * the same key have the same 64 bits with a probability of 2^-64, and are refused all the same.
 */
export const COMPARED_DIGEST_DIGITS = 16;

const isSameDigest = (a: string, b: string): boolean =>
  a.slice(0, COMPARED_DIGEST_DIGITS) === b.slice(0, COMPARED_DIGEST_DIGITS);

/** Compares a claim with the one recorded under its id. */
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

/** The claims of a group that are to be written: the first one of each id that is not recorded. */
export const selectUnrecorded = (
  requested: readonly ClaimEntry[],
  recorded: ReadonlyMap<string, ClaimEntry>,
): ClaimEntry[] => {
  const selected = new Map<string, ClaimEntry>();
  for (const claim of requested) {
    if (!recorded.has(claim.claimId) && !selected.has(claim.claimId)) {
      selected.set(claim.claimId, claim);
    }
  }
  return [...selected.values()];
};
