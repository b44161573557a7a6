/** Measures the cost of membership per VM by the number of members. */
import { silentLog } from '@jujubelanding/log';
import { MembershipController } from '@jujubelanding/membership';
import { silentMetrics } from '@jujubelanding/metrics';
import { DatagramKind } from '@jujubelanding/peer-protocol';
import { createRandom } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { assignShards, createMembers } from '../static-state.js';
import { measureHeapBytes, measureOnceMs } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  selectSizes,
  type MeasurementOptions,
  type Series,
  type SeriesHeader,
} from '../series.js';
import { encodeDatagram } from '../wire-format.js';
import { MeteredNetworkGroup } from '../metered-network-group.js';

const MEMBER_COUNTS = [8, 32, 64, 128, 256, 410];
const WARM_UP_MS = 1000;
const MEASURED_MS = 4000;
const LOAD_INTERVAL_MS = 1000;

interface MembershipResult {
  oversizedShare: number;
  bytesOutPerSecond: number;
  bytesInPerSecond: number;
  messagesPerSecond: number;
  processorShare: number;
  memberEntriesBytes: number;
  largestDatagram: number;
  knownMemberShare: number;
}

export interface MembershipFleet {
  networkGroup: MeteredNetworkGroup;
  timer: VirtualTimer;
  controllers: MembershipController[];
}

/** Starts membership controllers whose online load changes every second. */
export const startMembershipFleet = (count: number, seed: number): MembershipFleet => {
  const timer = new VirtualTimer();
  const networkGroup = new MeteredNetworkGroup(timer);
  const members = createMembers(count);
  const owners = assignShards(members);
  const random = createRandom(seed);
  const controllers = members.map((member) => {
    const io = {
      timer,
      random: createRandom(random.nextInt(2 ** 31)),
      network: networkGroup.createNetwork(member.peerAddress),
      createLog: () => silentLog,
      metrics: silentMetrics,
    };
    const directory = { entryVms: () => members };
    const controller = new MembershipController({ io, settings: member, directory });
    controller.start();
    const shards = owners.flatMap((owner, shard) =>
      owner === member ? [{ shard, fence: 7 }] : [],
    );
    controller.updateSelf({ shards, heldRevision: 123_456, activeRevision: 123_456 });
    timer.every(LOAD_INTERVAL_MS, () => controller.updateSelf({ onlineLoad: random.nextInt(300) }));
    return controller;
  });
  return { networkGroup, timer, controllers };
};

/**
 * Gives every VM the entries of all members and stops their dissemination. Otherwise a fleet that
 * starts within one second would repeat them for about a minute; the figures are for a settled
 * fleet.
 */
export const exchangeMemberEntries = ({ networkGroup, controllers }: MembershipFleet): void => {
  const updates = controllers.map((controller) => controller.self());
  const [first, second] = updates;
  controllers.forEach((controller) => {
    const self = controller.self();
    const { entryVmId: from } = self === first ? second! : first!;
    const datagram = { kind: DatagramKind.ProbeReply as const, sequence: 0, from, updates };
    networkGroup.networks.get(self.peerAddress)!.receive(encodeDatagram(datagram));
    const { queue } = Reflect.get(controller, 'swim') as { queue: { clear: () => void } };
    queue.clear();
  });
};

const measureMembers = async (count: number, seed: number): Promise<MembershipResult> => {
  const fleet = startMembershipFleet(count, seed);
  exchangeMemberEntries(fleet);
  await fleet.timer.advance(WARM_UP_MS);
  fleet.networkGroup.reset();
  const elapsedMs = await measureOnceMs(() => fleet.timer.advance(MEASURED_MS));
  const vmSeconds = (MEASURED_MS / 1000) * count;
  const usages = fleet.networkGroup.listUsages();
  const computeRate = (pick: (usage: (typeof usages)[number]) => number): number =>
    usages.reduce((sum, usage) => sum + pick(usage), 0) / vmSeconds;
  const knownMembers = fleet.controllers.reduce((sum, node) => sum + node.members().length, 0);
  const heap = await measureHeapBytes(() =>
    Array.from({ length: 50 }, () => structuredClone(createMembers(count))),
  );
  return {
    oversizedShare:
      fleet.networkGroup.oversizedCount /
      (computeRate(({ messagesOut }) => messagesOut) * vmSeconds),
    bytesOutPerSecond: computeRate(({ bytesOut }) => bytesOut),
    bytesInPerSecond: computeRate(({ bytesIn }) => bytesIn),
    messagesPerSecond: computeRate(({ messagesOut, messagesIn }) => messagesOut + messagesIn),
    processorShare: elapsedMs / 1000 / vmSeconds,
    memberEntriesBytes: heap / 50,
    largestDatagram: fleet.networkGroup.largestDatagram,
    knownMemberShare: knownMembers / count ** 2,
  };
};

const SOURCE = 'membership/src/swim.ts, membership-controller.ts, payload.ts';

const createHeader = (id: string, title: string, kind: Kind, unit: string) => ({
  id,
  title,
  kind,
  unit,
  size: 'members',
  source: SOURCE,
});

type SeriesDefinition = readonly [header: SeriesHeader, pick: (result: MembershipResult) => number];

const SERIES_DEFINITIONS: readonly SeriesDefinition[] = [
  [
    createHeader('membership.bytesOut', 'Membership: bytes sent per VM', Kind.Counted, 'B/s'),
    (result) => result.bytesOutPerSecond,
  ],
  [
    createHeader('membership.bytesIn', 'Membership: bytes received per VM', Kind.Counted, 'B/s'),
    (result) => result.bytesInPerSecond,
  ],
  [
    createHeader('membership.messages', 'Membership: datagrams per VM', Kind.Counted, '1/s'),
    (result) => result.messagesPerSecond,
  ],
  [
    createHeader(
      'membership.processor',
      'Membership: processor time',
      Kind.Processor,
      '% of a core',
    ),
    (result) => result.processorShare * 100,
  ],
  [
    createHeader('membership.memory', 'Membership: heap of the member entries', Kind.Memory, 'B'),
    (result) => result.memberEntriesBytes,
  ],
  [
    createHeader('membership.largest', 'Membership: largest datagram', Kind.Counted, 'B'),
    (result) => result.largestDatagram,
  ],
  [
    createHeader(
      'membership.oversized',
      'Membership: datagrams above 1,200 B',
      Kind.Counted,
      'ratio',
    ),
    (result) => result.oversizedShare,
  ],
  [
    createHeader('membership.known', 'Membership: share of members known', Kind.Counted, 'ratio'),
    (result) => result.knownMemberShare,
  ],
];

/** Measures membership; each figure is the mean per VM. */
export const measureMembership = async (options: MeasurementOptions): Promise<Series[]> => {
  const sizes = selectSizes(MEMBER_COUNTS, options);
  const results = await measureEach(sizes, (count) => measureMembers(count, options.seed));
  return SERIES_DEFINITIONS.map(([header, pick]) =>
    createSeries(header, pickPoints(results, pick)),
  );
};
