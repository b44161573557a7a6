/** Choice of the VMs that hold the copies of a segment. */
import { rankNodes } from '@jujubelanding/random';
import { MemberState, type Member } from '@jujubelanding/types';

/** Returns the members that take new copies. */
export const listDiskMembers = (members: readonly Member[]): Member[] =>
  members.filter((member) => member.hasDisk && member.state === MemberState.Alive);

/**
 * Returns the best next VM for a copy: one in an availability zone without a copy where possible,
 * spread over VMs by the segment id.
 */
export const chooseCopyTarget = (
  segmentId: string,
  candidates: readonly Member[],
  holders: readonly Member[],
): Member | undefined => {
  const usedZones = new Set(holders.map((holder) => holder.availabilityZone));
  const usedIds = new Set(holders.map((holder) => holder.entryVmId));
  const byId = new Map(candidates.map((member) => [member.entryVmId, member]));
  const ranked = rankNodes(segmentId, [...byId.keys()])
    .map((id) => byId.get(id)!)
    .filter((member) => !usedIds.has(member.entryVmId));
  return ranked.find((member) => !usedZones.has(member.availabilityZone)) ?? ranked[0];
};
