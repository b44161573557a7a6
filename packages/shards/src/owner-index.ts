/** Owners of shards as claimed in membership gossip. */
import type { ShardOwner } from '@jujubelanding/interfaces';
import type { Member } from '@jujubelanding/types';

/** Returns the owner of each shard; of several claims the highest fencing number counts. */
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
