/** Measures the cost of online notices and worker totals per VM by the size of the fleet. */
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import type { BackendServers } from '@jujubelanding/platform';
import { createRandom, type Random } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { WorkerRole, type Member, type Worker } from '@jujubelanding/types';
import { OwnedWorkersController, WorkerLoadsController } from '@jujubelanding/worker-load';
import { ok } from 'neverthrow';
import {
  assignShards,
  createConfiguration,
  createDirectory,
  createMembers,
  createMembership,
  createShardTable,
  createWorkers,
} from '../static-state.js';
import { measureOnceMs } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  selectSizes,
  type MeasurementOptions,
  type Series,
} from '../series.js';
import { MeteredNetworkGroup } from '../metered-network-group.js';

const ENTRY_VM_COUNTS = [8, 16, 32, 64, 128, 256];
const SERVICE_COUNT = 5;
/** 600 workers on 410 entry VMs. */
const WORKERS_PER_VM = 600 / 410;
const MIN_WORKERS = 17;
/** 8,300 requests/s on 410 entry VMs. */
const REQUESTS_PER_SECOND = 8300 / 410;
/** 217 tokens at 45 ms, the assumed mean, after a time to first token of 0.25 s. */
const REQUEST_DURATION_MS = 10_000;
const WARM_UP_MS = 1500;
const MEASURED_MS = 2000;

interface NoticesResult {
  meanBytes: number;
  ownerBytes: number;
  messages: number;
  processorShare: number;
  largestDatagram: number;
}

const createBackendServers = (): Pick<BackendServers, 'readLoad'> => ({
  readLoad: async (worker) =>
    ok({
      workerId: worker.id,
      ageMs: 200,
      slots: 64,
      running: 20,
      waiting: 0,
      models: ['model'],
      adapters: [],
      role: WorkerRole.Mixed,
      streams: [],
      cacheEvents: [],
    }),
});

export interface NoticeFleet {
  networkGroup: MeteredNetworkGroup;
  timer: VirtualTimer;
  owners: Member[];
  members: Member[];
}

/**
 * Starts requests at a fixed rate on random workers of the VM's own zone, which routing prefers.
 */
const startLoad = (
  loads: WorkerLoadsController,
  workers: Worker[],
  timer: VirtualTimer,
  random: Random,
): void => {
  const startRequest = (durationMs: number): void => {
    const { id } = random.pick(workers);
    loads.beginRequest(id);
    timer.after(durationMs, () => loads.endRequest(id));
  };
  const running = Math.round((REQUESTS_PER_SECOND * REQUEST_DURATION_MS) / 1000);
  for (let index = 0; index < running; index += 1) {
    startRequest(random.nextInt(REQUEST_DURATION_MS));
  }
  timer.after(random.nextInt(50), () =>
    timer.every(1000 / REQUESTS_PER_SECOND, () => startRequest(REQUEST_DURATION_MS)),
  );
};

export const startNoticeFleet = (count: number, seed: number): NoticeFleet => {
  const timer = new VirtualTimer();
  const networkGroup = new MeteredNetworkGroup(timer);
  const random = createRandom(seed);
  const members = createMembers(count);
  const owners = assignShards(members);
  const workers = createWorkers(
    Math.max(MIN_WORKERS, Math.round(count * WORKERS_PER_VM)),
    SERVICE_COUNT,
  );
  const directory = createDirectory(workers, members);
  const configuration = createConfiguration({});
  const createLog = () => silentLog;
  members.forEach((member) => {
    const { entryVmId } = member;
    const network = networkGroup.createNetwork(member.peerAddress);
    const backendServers = createBackendServers() as BackendServers;
    const io = { timer, network, backendServers, createLog, metrics: silentMetrics };
    const state = {
      membership: createMembership(member, members),
      shards: createShardTable(member, owners),
      directory,
      configuration,
    };
    const ownedWorkers = new OwnedWorkersController({ io, entryVmId, ...state });
    const loads = new WorkerLoadsController({ io, entryVmId, ...state, ownedWorkers });
    // Staggers the starts, so that the intervals of the VMs do not coincide.
    timer.after(random.nextInt(500), () => {
      ownedWorkers.start();
      loads.start();
      const local = workers.filter((worker) => worker.availabilityZone === member.availabilityZone);
      startLoad(loads, local.length > 0 ? local : workers, timer, random);
    });
  });
  return { networkGroup, timer, owners, members };
};

const measureNotices = async (count: number, seed: number): Promise<NoticesResult> => {
  const { networkGroup, timer, owners, members } = startNoticeFleet(count, seed);
  await timer.advance(WARM_UP_MS);
  networkGroup.reset();
  const elapsedMs = await measureOnceMs(() => timer.advance(MEASURED_MS));
  const seconds = MEASURED_MS / 1000;
  const perVm = members.map((member) => {
    const { bytesIn, bytesOut, messagesIn, messagesOut } = networkGroup.networks.get(
      member.peerAddress,
    )!.usage;
    const bytes = Math.max(bytesIn, bytesOut) / seconds;
    return { member, bytes, messages: (messagesIn + messagesOut) / seconds };
  });
  const computeMean = (values: number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  return {
    meanBytes: computeMean(perVm.map(({ bytes }) => bytes)),
    ownerBytes: Math.max(
      ...perVm.filter(({ member }) => owners.includes(member)).map(({ bytes }) => bytes),
    ),
    messages: computeMean(perVm.map(({ messages }) => messages)),
    processorShare: elapsedMs / MEASURED_MS / count,
    largestDatagram: networkGroup.largestDatagram,
  };
};

const SOURCE = 'worker-load/src/worker-loads.ts, owned-workers.ts, notice-ledger.ts';

const createHeader = (id: string, title: string, kind: Kind, unit: string) => ({
  id,
  title,
  kind,
  unit,
  size: 'entry VMs',
  source: SOURCE,
});

/** Measures notices at 20.2 requests/s per VM; bytes are those of the busier direction. */
export const measureOnlineNotices = async (options: MeasurementOptions): Promise<Series[]> => {
  const sizes = selectSizes(ENTRY_VM_COUNTS, options);
  const results = await measureEach(sizes, (count) => measureNotices(count, options.seed));
  return [
    createSeries(
      createHeader('notices.bytes', 'Online notices: bytes per VM, mean', Kind.Counted, 'B/s'),
      pickPoints(results, ({ meanBytes }) => meanBytes),
    ),
    createSeries(
      createHeader(
        'notices.ownerBytes',
        'Online notices: bytes of the busiest owner',
        Kind.Counted,
        'B/s',
      ),
      pickPoints(results, ({ ownerBytes }) => ownerBytes),
    ),
    createSeries(
      createHeader('notices.messages', 'Online notices: datagrams per VM', Kind.Counted, '1/s'),
      pickPoints(results, ({ messages }) => messages),
    ),
    createSeries(
      createHeader(
        'notices.processor',
        'Online notices: processor time',
        Kind.Processor,
        '% of a core',
      ),
      pickPoints(results, ({ processorShare }) => processorShare * 100),
    ),
    createSeries(
      createHeader('notices.largest', 'Online notices: largest datagram', Kind.Counted, 'B'),
      pickPoints(results, ({ largestDatagram }) => largestDatagram),
    ),
  ];
};
