/** Decision of a group of claims against those already recorded; pure. */
import type { ClaimEntry } from './claim-log.js';

export enum ClaimVerdict {
  /** To be recorded with this group. */
  New = 'new',
  /** Recorded earlier by the same call. */
  Own = 'own',
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
export const judgeClaim = (asked: ClaimEntry, recorded: ClaimEntry | undefined): ClaimVerdict => {
  if (recorded === undefined) return ClaimVerdict.New;
  if (recorded.token === asked.token) return ClaimVerdict.Own;
  return isSameDigest(recorded.digest, asked.digest)
    ? ClaimVerdict.AlreadyClaimed
    : ClaimVerdict.KeyReused;
};

/** The claims of a group that are to be written: the first one of each id that is not recorded. */
export const selectNew = (
  asked: readonly ClaimEntry[],
  recorded: ReadonlyMap<string, ClaimEntry>,
): ClaimEntry[] => {
  const selected = new Map<string, ClaimEntry>();
  for (const claim of asked) {
    if (!recorded.has(claim.claimId) && !selected.has(claim.claimId)) {
      selected.set(claim.claimId, claim);
    }
  }
  return [...selected.values()];
};
