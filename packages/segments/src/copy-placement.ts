/** Chooses the VMs that hold the copies of a segment. */
import { rankNodes } from '@jujubelanding/random';
import { MemberState, type Member } from '@jujubelanding/types';

/** Returns the live members with a disk, which can store new copies. */
export const listDiskMembers = (members: readonly Member[]): Member[] =>
  members.filter((member) => member.hasDisk && member.state === MemberState.Alive);

/**
 * Returns the VM for the next copy of a segment, preferring an availability zone without a copy. VMs
 * are ranked by the segment id, which spreads segments over them.
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
