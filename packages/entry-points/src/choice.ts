/** Selection of entry VMs for a caller, without I/O. */
import { hashText } from '@jujubelanding/random';
import { type Member, MemberState } from '@jujubelanding/types';

const HASH_RANGE = 2 ** 32;

/** Load above the least loaded VM, in requests, at which a VM's share of callers is halved. */
export const HALVING_LOAD = 16;

/**
 * Score for weighted rendezvous hashing: over many callers each VM ranks first in proportion to its
 * weight, and a change of one VM's weight only moves callers to or from this VM.
 */
const computeScore = (caller: string, member: Member, lowestLoad: number): number => {
  const weight = HALVING_LOAD / (HALVING_LOAD + Math.max(0, member.onlineLoad - lowestLoad));
  const uniform = (hashText(`${caller}|${member.entryVmId}`) + 0.5) / HASH_RANGE;
  return -weight / Math.log(uniform);
};

export interface ChoiceOptions {
  caller: string;
  /** Availability zone of the caller; preferred if given. */
  availabilityZone?: string | undefined;
  count: number;
  /** Ids of leaving members that may be chosen too. */
  staying?: readonly string[];
}

/** Ranks serving members for a caller, those in the caller's availability zone first. */
const rankMembers = (members: readonly Member[], options: ChoiceOptions): Member[] => {
  const serving = members.filter(
    ({ entryVmId, state }) =>
      state === MemberState.Alive || options.staying?.includes(entryVmId) === true,
  );
  const lowestLoad = Math.min(...serving.map(({ onlineLoad }) => onlineLoad));
  return serving
    .map((member) => ({
      member,
      isSameZone: Number(member.availabilityZone === options.availabilityZone),
      score: computeScore(options.caller, member, lowestLoad),
    }))
    .toSorted((a, b) => b.isSameZone - a.isSameZone || b.score - a.score)
    .map(({ member }) => member);
};

/**
 * Chooses up to `count` serving members, those in the caller's availability zone first. The last one is
 * in another zone if there is one, so that the caller keeps an address when a zone is lost.
 */
export const chooseMembers = (members: readonly Member[], options: ChoiceOptions): Member[] => {
  const ranked = rankMembers(members, options);
  const chosen = ranked.slice(0, options.count);
  const firstZone = chosen[0]?.availabilityZone;
  const inOtherZone = ranked.find(({ availabilityZone }) => availabilityZone !== firstZone);
  if (chosen.length < 2 || inOtherZone === undefined || chosen.includes(inOtherZone)) return chosen;
  return [...chosen.slice(0, -1), inOtherZone];
};
