/**
 * Measures the memory of operator records and the cost of a change by the number of records and
 * members.
 */
import { ConfigurationController } from '@jujubelanding/configuration';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { PeerMethod, type ReplicatedRecord } from '@jujubelanding/peer-protocol';
import { computeChecksum, createRandom } from '@jujubelanding/random';
import { encodeStored } from '@jujubelanding/records';
import { KeyValueService } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { RecordKind, type Member } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import {
  formatPeerAddress,
  createMember,
  createMembers,
  createMembership,
} from '../static-state.js';
import { measureHeapBytes, readProcessorMs } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  type MeasurementOptions,
  type Series,
} from '../series.js';
import type { MeteredNetwork } from '../metered-network.js';
import { MeteredNetworkGroup } from '../metered-network-group.js';

const RECORD_COUNTS = [500, 1500, 4000, 8000];
const MEMBER_COUNTS = [8, 32, 128, 410];
const CHANGES_PER_ROUND = 200;
const ROUND_COUNT = 5;

const createRecord = (index: number, revision: number): ReplicatedRecord => {
  const name = `team-${index}`;
  const spec = {
    keyHashes: [computeChecksum(`key-${index}`)],
    requestsPerSecond: 100,
    burst: 200,
    concurrency: 500,
    maxBodyBytes: 1_000_000,
    maxJobItems: 570_000,
    batchWeight: 1,
  };
  const origin = { writeId: 'aaaaaaaaaaaaaaaa', author: 'operator', time: 1_767_225_600_000 };
  const header = { kind: RecordKind.Team, name, schemaVersion: 2 } as const;
  return { kind: 'team', name, revision, value: encodeStored({ ...header, spec, ...origin }) };
};

/** JSON bytes of one pushed record, without the overhead of a call. */
export const RECORD_BYTES = JSON.stringify(createRecord(1, 1)).length;

interface MeasuredReplica {
  /** Other members; more than half of them hold each change. */
  peers: Member[];
  controller: ConfigurationController;
  network: MeteredNetwork;
  timer: VirtualTimer;
  push: (records: ReplicatedRecord[], after: number, revision: number) => Promise<unknown>;
}

/**
 * Registers a peer that accepts pushes. Its pull replies are empty, because the push of the same
 * change is in flight.
 */
const registerPeer = (networkGroup: MeteredNetworkGroup, address: string): void => {
  const network = networkGroup.createNetwork(address);
  network.handle(PeerMethod.PushConfiguration, async ({ revision }) =>
    ok({ heldRevision: revision }),
  );
  network.handle(PeerMethod.PullConfiguration, async ({ afterRevision }) =>
    ok({ afterRevision, revision: afterRevision, records: [] }),
  );
};

/** Starts a replica that knows its start revision, with peers that send nothing on their own. */
const startReplica = async (memberCount: number, seed: number): Promise<MeasuredReplica> => {
  const timer = new VirtualTimer();
  const networkGroup = new MeteredNetworkGroup(timer);
  const members = createMembers(memberCount).map((member, index) =>
    index === 0 ? createMember(0) : { ...member, heldRevision: 0, activeRevision: 0 },
  );
  const self = members[0]!;
  members.slice(1).forEach(({ peerAddress }) => registerPeer(networkGroup, peerAddress));
  const network = networkGroup.createNetwork(self.peerAddress);
  const random = createRandom(seed);
  const io = {
    timer,
    random,
    store: new KeyValueService({ timer, random }).createClient('vm'),
    network,
    createLog: () => silentLog,
    metrics: silentMetrics,
  };
  const controller = new ConfigurationController({
    io,
    settings: self,
    membership: createMembership(self, members),
    directory: { entryVms: () => members },
    shards: { owned: () => [{ shard: 1, fence: 1 }] },
  });
  controller.start();
  await timer.advance(100);
  const caller = networkGroup.createNetwork(formatPeerAddress('caller'));
  const push: MeasuredReplica['push'] = (records, afterRevision, revision) =>
    caller.call(self, PeerMethod.PushConfiguration, { afterRevision, revision, records });
  return { controller, network, timer, push, peers: members.slice(1) };
};

/**
 * Pushes a change that two of three peers already hold, so that it becomes active at once; the
 * replica pushes it to the others.
 */
const applyChange = async (
  { peers, push, timer }: MeasuredReplica,
  records: ReplicatedRecord[],
  after: number,
  revision: number,
): Promise<void> => {
  peers.forEach((peer, index) => {
    if (index % 3 !== 0) peer.heldRevision = revision;
  });
  const pushed = push(records, after, revision);
  await timer.advance(4);
  await pushed;
};

const loadRecords = (replica: MeasuredReplica, count: number): Promise<void> => {
  const records = Array.from({ length: count }, (_, index) => createRecord(index, index + 1));
  return applyChange(replica, records, 0, count);
};

const measureChange = async (records: number, members: number, seed: number): Promise<number> => {
  const replica = await startReplica(members, seed);
  await loadRecords(replica, records);
  let revision = records;
  const rounds: number[] = [];
  while (rounds.length < ROUND_COUNT) {
    const start = readProcessorMs();
    for (let index = 0; index < CHANGES_PER_ROUND; index += 1) {
      await applyChange(replica, [createRecord(index, revision + 1)], revision, revision + 1);
      revision += 1;
    }
    rounds.push(((readProcessorMs() - start) * 1000) / CHANGES_PER_ROUND);
  }
  if (replica.controller.activeRevision() !== revision) throw new Error('changes are not active');
  return rounds.toSorted((a, b) => a - b)[Math.floor(ROUND_COUNT / 2)]!;
};

const measureRecordHeap = async (count: number, seed: number): Promise<number> => {
  const replica = await startReplica(8, seed);
  return measureHeapBytes(async () => {
    await loadRecords(replica, count);
    return replica;
  });
};

const SOURCE = 'configuration/src/replica.ts, activation.ts, peer-sync.ts';

/** Measures a received change, which is pushed on to three members, and the heap of the replica. */
export const measureConfiguration = async ({ seed }: MeasurementOptions): Promise<Series[]> => {
  // Warm-up run: lets the JIT compile the code, which would otherwise count towards the first size.
  await measureChange(RECORD_COUNTS[0]!, MEMBER_COUNTS[0]!, seed);
  const byRecords = await measureEach(RECORD_COUNTS, (count) => measureChange(count, 8, seed));
  const byMembers = await measureEach(MEMBER_COUNTS, (count) => measureChange(500, count, seed));
  const heaps = await measureEach(RECORD_COUNTS, (count) => measureRecordHeap(count, seed));
  const change = { kind: Kind.Processor, unit: 'µs per change', source: SOURCE };
  return [
    createSeries(
      {
        ...change,
        id: 'configuration.changeByRecords',
        title: 'Configuration: a received change, by records',
        size: 'records',
      },
      pickPoints(byRecords, (value) => value),
    ),
    createSeries(
      {
        ...change,
        id: 'configuration.changeByMembers',
        title: 'Configuration: a received change, by members',
        size: 'members',
      },
      pickPoints(byMembers, (value) => value),
    ),
    createSeries(
      {
        id: 'configuration.heap',
        title: 'Configuration: heap of the replica',
        kind: Kind.Memory,
        size: 'records',
        unit: 'B',
        source: SOURCE,
      },
      pickPoints(heaps, (value) => value),
    ),
  ];
};
