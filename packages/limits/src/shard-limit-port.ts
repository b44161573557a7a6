/** Limit port of the form in which shards and their owners are agreed on by the members of the fleet. */
import type { Configuration, EntryVmIo, Membership, ShardTable } from '@jujubelanding/interfaces';
import { DatagramKind, type LimitAnswer, type LimitRequest } from '@jujubelanding/peer-protocol';
import { computeShard } from '@jujubelanding/random';
import { MemberState, RecordKind } from '@jujubelanding/types';
import type { TeamBounds } from './grant-division.js';
import type { LimitPort } from './limit-port.js';

/** Minimum interval between counts of live members; a large fleet has hundreds of them. */
const COUNT_INTERVAL_MS = 250;

export interface ShardLimitPortOptions {
  io: Pick<EntryVmIo, 'timer' | 'network'>;
  entryVmId: string;
  membership: Membership;
  shards: ShardTable;
  configuration: Configuration;
}

export type GrantPort = LimitPort<LimitRequest | LimitAnswer, TeamBounds>;

export const createShardLimitPort = ({
  io,
  entryVmId,
  membership,
  shards,
  configuration,
}: ShardLimitPortOptions): GrantPort => {
  let liveVms = { count: 1, countedAt: -Infinity };
  const countLiveVms = (): number => {
    const now = io.timer.now();
    if (now - liveVms.countedAt >= COUNT_INTERVAL_MS) {
      const alive = membership.members().filter(({ state }) => state === MemberState.Alive);
      liveVms = { count: Math.max(1, alive.length), countedAt: now };
    }
    return liveVms.count;
  };
  /** The table of shards knows the address of an owner that is no member any more. */
  const findOwnerAddress = (message: LimitRequest | LimitAnswer): string | undefined => {
    if (message.kind !== DatagramKind.LimitRequest) return undefined;
    return shards.ownerOf(computeShard(message.teams[0]![0]))?.peerAddress;
  };
  return {
    entryVmId,
    bootId: () => membership.self().bootId,
    findOwner: (team) => shards.ownerOf(computeShard(team))?.entryVmId,
    ownedSince: (team) => {
      const shard = computeShard(team);
      return shards.fenceOf(shard) === undefined ? undefined : shards.ownedSince(shard);
    },
    countLiveVms,
    findBounds: (team) => configuration.get(RecordKind.Team, team)?.spec,
    send: (receiverId, message) => {
      const address = findOwnerAddress(message) ?? membership.find(receiverId)?.peerAddress;
      if (address !== undefined) io.network.send(address, message);
    },
  };
};
