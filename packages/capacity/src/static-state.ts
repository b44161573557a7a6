/** Static state in place of the controllers of a VM that a measurement does not cover. */
import type {
  ActiveRecord,
  Configuration,
  Directory,
  Membership,
  ShardTable,
} from '@jujubelanding/interfaces';
import { rankNodes } from '@jujubelanding/random';
import {
  MemberState,
  SHARD_COUNT,
  VmState,
  type Member,
  type RecordKind,
  type Worker,
} from '@jujubelanding/types';

/** Zones of both deployments together; the design size has as many. */
export const AVAILABILITY_ZONES = [
  'jhb-east',
  'jhb-west',
  'pta-north',
  'ekurhuleni',
  'hofn-a',
  'fjordur-b',
  'nes-c',
  'selfoss-d',
];

const NOOP_SUBSCRIPTION = { cancel: () => {} };

export const formatPeerAddress = (entryVmId: string): string => `${entryVmId}:7400`;

/**
 * Creates a member with ids and addresses of realistic length, so that counted bytes are realistic.
 */
export const createMember = (index: number): Member => ({
  entryVmId: `entry-vm-${String(index).padStart(4, '0')}`,
  bootId: index.toString(16).padStart(16, 'a'),
  incarnation: 1_767_225_600_000 + index,
  state: MemberState.Alive,
  peerAddress: `10.20.${Math.floor(index / 250)}.${(index % 250) + 1}:7400`,
  callerAddress: `10.20.${Math.floor(index / 250)}.${(index % 250) + 1}:7500`,
  availabilityZone: AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length]!,
  hasDisk: index % 8 === 0,
  heldRevision: 123_456,
  activeRevision: 123_456,
  onlineLoad: 0,
  shards: [],
});

export const createMembers = (count: number): Member[] =>
  Array.from({ length: count }, (_, index) => createMember(index));

/** Assigns an owner to each shard with the rendezvous hashing that the entry VMs use. */
export const assignShards = (members: readonly Member[]): Member[] => {
  const ids = members.map(({ entryVmId }) => entryVmId);
  return Array.from({ length: SHARD_COUNT }, (_, shard) => {
    const [first] = rankNodes(`shard-${shard}`, ids);
    return members.find(({ entryVmId }) => entryVmId === first)!;
  });
};

export const createShardTable = (self: Member, owners: readonly Member[]): ShardTable => ({
  ownerOf: (shard) => ({ ...owners[shard]!, fence: 7 }),
  fenceOf: (shard) => (owners[shard] === self ? 7 : undefined),
  owned: () => owners.flatMap((owner, shard) => (owner === self ? [{ shard, fence: 7 }] : [])),
  onChange: () => NOOP_SUBSCRIPTION,
  ownedSince: (shard) => (owners[shard] === self ? 0 : undefined),
});

export const createMembership = (self: Member, members: Member[]): Membership => {
  const byId = new Map(members.map((member) => [member.entryVmId, member] as const));
  return {
    self: () => self,
    members: () => members,
    find: (id) => byId.get(id),
    updateSelf: () => {},
    onChange: () => NOOP_SUBSCRIPTION,
  };
};

export const createWorkers = (count: number, services: number): Worker[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `worker-${String(index).padStart(4, '0')}`,
    service: `service-${index % services}`,
    address: `10.30.${Math.floor(index / 250)}.${(index % 250) + 1}:8000`,
    availabilityZone: AVAILABILITY_ZONES[Math.floor(index / services) % AVAILABILITY_ZONES.length]!,
    state: VmState.Live,
  }));

export const createDirectory = (workers: Worker[], members: Member[]): Directory => {
  const byId = new Map(workers.map((worker) => [worker.id, worker] as const));
  const byService = new Map<string, Worker[]>();
  workers.forEach((worker) => {
    byService.set(worker.service, [...(byService.get(worker.service) ?? []), worker]);
  });
  return {
    workersOf: (service) => byService.get(service) ?? [],
    find: (id) => byId.get(id),
    all: () => workers,
    entryVms: () => members,
    onChange: () => NOOP_SUBSCRIPTION,
  };
};

type AnyActiveRecord = ActiveRecord<RecordKind>;

export const createConfiguration = (
  records: Partial<Record<RecordKind, Map<string, AnyActiveRecord>>>,
): Configuration => ({
  isReady: () => true,
  heldRevision: () => 1,
  activeRevision: () => 1,
  get: (kind, name) => records[kind]?.get(name) as never,
  list: (kind) => [...(records[kind]?.values() ?? [])] as never,
  onChange: () => NOOP_SUBSCRIPTION,
});
