/** Measures the cost of progress notices and their answers per VM by the size of the fleet. */
import {
  ChunkSet,
  ActiveChunk,
  JobOwnerClient,
  ProgressReporter,
} from '@jujubelanding/batch-execution';
import { createJobId, ProgressResponder } from '@jujubelanding/batch-jobs';
import { silentLog } from '@jujubelanding/log';
import {
  ProgressDecision,
  type ChunkGrant,
  type ProgressReport,
} from '@jujubelanding/peer-protocol';
import { createRandom, computeShard, type Random } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import type { Member } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import {
  assignShards,
  createMembers,
  createMembership,
  createShardTable,
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

const ENTRY_VM_COUNTS = [8, 16, 32, 64, 128, 410];
/** Maximum number of chunks that an executor holds. */
const CHUNKS_PER_EXECUTOR = 16;
/** 200 items of 217 tokens at 45 ms on about 64 slots; an assumption. */
const CHUNK_DURATION_MS = 30_000;
const WARM_UP_MS = 5000;
const MEASURED_MS = 20_000;

interface ProgressResult {
  bytes: number;
  processorShare: number;
  largestDatagram: number;
}

const createGrant = (random: Random): ChunkGrant => {
  const jobId = createJobId('team', random.createId());
  return {
    jobId,
    shard: computeShard(jobId),
    fence: 7,
    grantId: random.createId(),
    chunk: random.nextInt(300),
    firstItem: 0,
    itemCount: 0,
    model: 'model',
    input: { id: '', bytes: 0, copies: [] },
    dueAt: random.nextInt(1000),
    timeoutMs: 3000,
  };
};

const createChunkSet = (timer: VirtualTimer, random: Random, executorId: string): ChunkSet => {
  const segments = { read: async () => new Promise<never>(() => {}) } as never;
  const ownerClient = {} as JobOwnerClient;
  const io = { timer, random };
  const chunkSet = new ChunkSet({
    io,
    segments,
    ownerClient,
    executorId,
    log: silentLog,
    onStop: () => {},
  });
  const startChunk = (): void => {
    const chunk = new ActiveChunk(createGrant(random), [], timer.now());
    chunkSet.put(chunk);
    timer.after(CHUNK_DURATION_MS, () => {
      chunkSet.stop(chunk, 'replaced');
      startChunk();
    });
  };
  for (let index = 0; index < CHUNKS_PER_EXECUTOR; index += 1) {
    timer.after(random.nextInt(CHUNK_DURATION_MS), startChunk);
  }
  return chunkSet;
};

/** Starts an executor and a job owner on each VM that owns a shard. */
export const startProgressFleet = (count: number, seed: number) => {
  const timer = new VirtualTimer();
  const networkGroup = new MeteredNetworkGroup(timer);
  const random = createRandom(seed);
  const members = createMembers(count);
  const assigned = assignShards(members);
  const owners = [...new Set<Member>(assigned)];
  owners.forEach((member) => {
    const network = networkGroup.createNetwork(member.peerAddress);
    const io = { timer, network, random };
    const membership = createMembership(member, members);
    const shards = createShardTable(member, assigned);
    const evaluateGrant = () => ProgressDecision.Continue;
    const owner = {
      reportProgress: async ({ grants }: ProgressReport) =>
        ok({ verdicts: grants.map(evaluateGrant) }),
    } as never;
    const ownerClient = new JobOwnerClient({ io, shards, membership, owner });
    const chunks = createChunkSet(timer, random, member.entryVmId);
    new ProgressResponder({ io, membership, evaluateGrant }).start();
    timer.after(random.nextInt(1000), () => {
      new ProgressReporter({
        io,
        ownerClient,
        executorId: member.entryVmId,
        chunks,
      }).start();
    });
  });
  return { networkGroup, timer, owners };
};

const measureExecutors = async (count: number, seed: number): Promise<ProgressResult> => {
  const { networkGroup, timer, owners } = startProgressFleet(count, seed);
  await timer.advance(CHUNK_DURATION_MS + WARM_UP_MS);
  networkGroup.reset();
  const elapsedMs = await measureOnceMs(() => timer.advance(MEASURED_MS));
  const networks = owners.map(({ peerAddress }) => networkGroup.networks.get(peerAddress)!);
  const sum = networks.reduce((total, { usage }) => total + usage.bytesOut, 0);
  return {
    bytes: sum / owners.length / (MEASURED_MS / 1000),
    processorShare: elapsedMs / MEASURED_MS / owners.length,
    largestDatagram: networkGroup.largestDatagram,
  };
};

const COMMON_HEADER = {
  size: 'entry VMs',
  source:
    'batch-execution/src/progress-reporter.ts, job-owner-client.ts, batch-jobs/src/progress-responder.ts',
};

/**
 * Measures an executor with 16 chunks that also answers as job owner. The measurement fails if an
 * executor reports to another VM by call, because the network has no handler for it.
 */
export const measureProgress = async (options: MeasurementOptions): Promise<Series[]> => {
  const sizes = selectSizes(ENTRY_VM_COUNTS, options);
  const results = await measureEach(sizes, (count) => measureExecutors(count, options.seed));
  return [
    createSeries(
      {
        ...COMMON_HEADER,
        id: 'progress.bytes',
        title: 'Progress: bytes per executor with 16 chunks',
        kind: Kind.Counted,
        unit: 'B/s',
      },
      pickPoints(results, ({ bytes }) => bytes),
    ),
    createSeries(
      {
        ...COMMON_HEADER,
        id: 'progress.processor',
        title: 'Progress: processor time per executor with 16 chunks',
        kind: Kind.Processor,
        unit: '% of a core',
      },
      pickPoints(results, ({ processorShare }) => processorShare * 100),
    ),
    createSeries(
      {
        ...COMMON_HEADER,
        id: 'progress.largest',
        title: 'Progress: largest datagram',
        kind: Kind.Counted,
        unit: 'B',
      },
      pickPoints(results, ({ largestDatagram }) => largestDatagram),
    ),
  ];
};
