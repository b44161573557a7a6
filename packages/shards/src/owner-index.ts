/** Index of shard owners as claimed in membership gossip. */
import type { ShardOwner } from '@jujubelanding/interfaces';
import type { Member } from '@jujubelanding/types';

/** Returns the owner of each shard; among several claims the highest fencing number wins. */
export const indexOwners = (members: readonly Member[]): Map<number, ShardOwner> => {
  const owners = new Map<number, ShardOwner>();
  for (const { entryVmId, peerAddress, shards } of members) {
    for (const { shard, fence } of shards) {
      if (fence > (owners.get(shard)?.fence ?? -1)) {
        owners.set(shard, { entryVmId, peerAddress, fence });
      }
    }
  }
  return owners;
};
