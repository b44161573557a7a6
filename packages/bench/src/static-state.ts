/** Membership, shard table, directory and configuration that stay constant during a run. */
import type {
  Configuration,
  Directory,
  Membership,
  ShardOwner,
  ShardTable,
} from '@jujubelanding/interfaces';
import { rankNodes } from '@jujubelanding/random';
import {
  FencingMode,
  MemberState,
  RecordKind,
  ServiceKind,
  SHARD_COUNT,
  type Member,
  type RecordSpecs,
  type TeamRecord,
  type Worker,
} from '@jujubelanding/types';

/** Names of the only service and of its only model. */
export const SERVICE_NAME = 'engine';
export const MODEL_NAME = 'base';

const FENCE = 1;

const NOOP_SUBSCRIPTION = { cancel: () => {} };

export interface StaticStateOptions {
  members: readonly Member[];
  workers: readonly Worker[];
  slotsPerWorker: number;
  teams: Record<string, TeamRecord>;
}

/** Creates members that are spread over the availability zones in turn. */
export const createMembers = (count: number, availabilityZones: readonly string[]): Member[] =>
  Array.from({ length: count }, (_, index) => ({
    entryVmId: `entry-${index}`,
    peerAddress: `entry-${index}:7400`,
    callerAddress: `entry-${index}:7500`,
    availabilityZone: availabilityZones[index % availabilityZones.length]!,
    bootId: `boot-${index}`,
    incarnation: 1,
    state: MemberState.Alive,
    hasDisk: false,
    heldRevision: 1,
    activeRevision: 1,
    onlineLoad: 0,
    shards: [],
  }));

const createShardTable = (options: StaticStateOptions, entryVmId: string): ShardTable => {
  const ids = options.members.map((member) => member.entryVmId);
  const owners: ShardOwner[] = Array.from({ length: SHARD_COUNT }, (_, shard) => {
    const ownerId = rankNodes(`shard-${shard}`, ids)[0]!;
    const { peerAddress } = options.members.find((member) => member.entryVmId === ownerId)!;
    return { entryVmId: ownerId, peerAddress, fence: FENCE };
  });
  const isOwned = (shard: number): boolean => owners[shard]?.entryVmId === entryVmId;
  return {
    ownerOf: (shard) => owners[shard],
    fenceOf: (shard) => (isOwned(shard) ? FENCE : undefined),
    owned: () => owners.flatMap((_, shard) => (isOwned(shard) ? [{ shard, fence: FENCE }] : [])),
    onChange: () => NOOP_SUBSCRIPTION,
    // Long before the start of the run, so that owners treat their counts as complete from the
    // start.
    ownedSince: (shard) => (isOwned(shard) ? -60_000 : undefined),
  };
};

const createConfiguration = (options: StaticStateOptions): Configuration => {
  const specs: { [K in RecordKind]: Record<string, RecordSpecs[K]> } = {
    [RecordKind.Service]: {
      [SERVICE_NAME]: {
        kind: ServiceKind.ModelEngine,
        fencing: FencingMode.Checked,
        slotsPerWorker: options.slotsPerWorker,
        requestTimeoutMs: 60_000,
        nonIdempotentPaths: [],
      },
    },
    [RecordKind.Model]: {
      [MODEL_NAME]: { service: SERVICE_NAME, version: 'v1', minWorkers: 1, maxTokens: 4096 },
    },
    [RecordKind.Adapter]: {},
    [RecordKind.Version]: { v1: { weight: 'base-weights' } },
    [RecordKind.Team]: options.teams,
    [RecordKind.Job]: {},
  };
  return {
    isReady: () => true,
    heldRevision: () => 1,
    activeRevision: () => 1,
    get: (kind, name) => {
      const spec = specs[kind][name];
      return spec === undefined ? undefined : { name, revision: 1, spec };
    },
    list: (kind) =>
      Object.entries(specs[kind]).map(([name, spec]) => ({ name, revision: 1, spec })),
    onChange: () => NOOP_SUBSCRIPTION,
  };
};

/** State as seen by one entry VM. */
export interface StaticState {
  membership: Membership;
  shards: ShardTable;
  directory: Directory;
  configuration: Configuration;
}

export const createStaticState = (options: StaticStateOptions, entryVmId: string): StaticState => {
  const self = options.members.find((member) => member.entryVmId === entryVmId)!;
  return {
    membership: {
      self: () => self,
      members: () => [...options.members],
      find: (id) => options.members.find((member) => member.entryVmId === id),
      updateSelf: () => {},
      onChange: () => NOOP_SUBSCRIPTION,
    },
    shards: createShardTable(options, entryVmId),
    directory: {
      workersOf: () => [...options.workers],
      find: (id) => options.workers.find((worker) => worker.id === id),
      all: () => [...options.workers],
      entryVms: () => [...options.members],
      onChange: () => NOOP_SUBSCRIPTION,
    },
    configuration: createConfiguration(options),
  };
};
