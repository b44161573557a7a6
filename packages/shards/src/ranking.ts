/** Ranking of candidate owners per shard by rendezvous hashing. */
import { rankNodes } from '@jujubelanding/random';
import { type Member, MemberState, SHARD_COUNT } from '@jujubelanding/types';

/** All shard numbers. */
export const SHARDS = Array.from({ length: SHARD_COUNT }, (_, shard) => shard);

/** Ranks live members for each shard; the result is cached per set of members. */
export class Ranking {
  /** Undefined until members were ranked; the key of no members is empty. */
  private key: string | undefined;

  private ranks: string[][] = [];

  rank(members: readonly Member[]): string[][] {
    const ids = members
      .filter(({ state }) => state === MemberState.Alive)
      .map(({ entryVmId }) => entryVmId)
      .toSorted();
    const key = ids.join(' ');
    if (key !== this.key) {
      this.key = key;
      this.ranks = SHARDS.map((shard) => rankNodes(`shard-${shard}`, ids));
    }
    return this.ranks;
  }
}
