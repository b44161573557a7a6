/** Counts the key-value calls per second of simulated fleets, idle and under load. */
import { MeasuredFleet, type FleetLoad } from '../measured-fleet.js';
import { KeyValuePurpose } from '../key-value-purposes.js';
import { readProcessorMs } from '../processor-time.js';
import type { MeasurementOptions } from '../series.js';

const MEASURED_MS = 30_000;
/** Time after the loss of a VM within which its shards get new owners. */
const TAKEOVER_MS = 30_000;
const CHANGE_INTERVAL_MS = 2000;

export interface FleetCounts {
  case: string;
  size: number;
  load: FleetLoad;
  measuredSeconds: number;
  readsPerSecond: number;
  writesPerSecond: number;
  pendingWatches: number;
  /** Calls per second. */
  reads: Partial<Record<KeyValuePurpose, number>>;
  writes: Partial<Record<KeyValuePurpose, number>>;
  /** Calls and datagrams between entry VMs, per second and VM. */
  peerCalls: Record<string, number>;
  /** Processor time of the whole simulation per VM, in percent of a core. */
  processorPercent: number;
}

const IDLE_LOAD: FleetLoad = {
  entryVms: 8,
  workers: 17,
  jobs: 0,
  itemsPerJob: 400,
  claimsPerSecond: 0,
  recordChanges: 0,
};

const BUSY_LOAD: FleetLoad = { ...IDLE_LOAD, jobs: 8, claimsPerSecond: 10, recordChanges: 5 };

interface FleetCase {
  name: string;
  sizes: number[];
  createLoad: (size: number) => FleetLoad;
}

const FLEET_CASES: FleetCase[] = [
  {
    name: 'idleByVms',
    sizes: [4, 8, 16, 32, 64],
    createLoad: (entryVms) => ({ ...IDLE_LOAD, entryVms }),
  },
  {
    name: 'loadedByVms',
    sizes: [4, 8, 16, 32],
    createLoad: (entryVms) => ({ ...BUSY_LOAD, entryVms }),
  },
  {
    name: 'loadedByWorkers',
    sizes: [4, 8, 16, 32],
    createLoad: (workers) => ({ ...BUSY_LOAD, workers }),
  },
  { name: 'loadedByJobs', sizes: [2, 4, 8, 16], createLoad: (jobs) => ({ ...BUSY_LOAD, jobs }) },
  {
    name: 'loadedByItems',
    sizes: [200, 400, 800, 1600],
    createLoad: (itemsPerJob) => ({ ...BUSY_LOAD, itemsPerJob }),
  },
];

const computeRates = <K extends string>(
  counts: ReadonlyMap<K, number>,
  seconds: number,
): Partial<Record<K, number>> =>
  Object.fromEntries([...counts].map(([name, count]) => [name, count / seconds])) as Partial<
    Record<K, number>
  >;

/** Submits jobs, sends claims and changes records while the fleet runs. */
const runLoad = async (measuredFleet: MeasuredFleet): Promise<void> => {
  const { fleet, load } = measuredFleet;
  measuredFleet.startClaims();
  const submissions = Array.from({ length: load.jobs }, (_, index) =>
    measuredFleet.submitJob(index),
  );
  for (let change = 0, revision = 0; change < load.recordChanges; change += 1) {
    const content = { schemaVersion: 1, spec: { weight: `weight-${change}` } };
    revision = await measuredFleet.writeRecord('version/changed', {
      ...content,
      expectedRevision: revision,
    });
    // `writeRecord` has advanced the time by 1000 ms.
    await fleet.advance(CHANGE_INTERVAL_MS - 1000);
  }
  await fleet.advance(MEASURED_MS - load.recordChanges * CHANGE_INTERVAL_MS);
  await Promise.all(submissions);
};

const measureFleet = async (
  caseName: string,
  size: number,
  load: FleetLoad,
  seed: number,
): Promise<FleetCounts> => {
  const measuredFleet = new MeasuredFleet(load, seed);
  const { fleet, counters } = measuredFleet;
  await measuredFleet.start();
  counters.reset();
  fleet.networkState.traffic.calls.clear();
  fleet.networkState.traffic.datagrams.clear();
  const startMs = readProcessorMs();
  await runLoad(measuredFleet);
  const seconds = MEASURED_MS / 1000;
  const vmSeconds = seconds * load.entryVms;
  const { calls, datagrams } = fleet.networkState.traffic;
  return {
    case: caseName,
    size,
    load,
    measuredSeconds: seconds,
    readsPerSecond: counters.total('reads') / seconds,
    writesPerSecond: counters.total('writes') / seconds,
    pendingWatches: counters.pendingWatches,
    reads: computeRates(counters.reads, seconds),
    writes: computeRates(counters.writes, seconds),
    peerCalls: {
      ...computeRates(calls, vmSeconds),
      ...computeRates(datagrams, vmSeconds),
    } as Record<string, number>,
    processorPercent: (readProcessorMs() - startMs) / 10 / vmSeconds,
  };
};

export interface LossCounts {
  entryVms: number;
  shardsLost: number;
  /** Calls for shard acquisitions during the takeover. */
  acquisitionCalls: number;
  jobReads: number;
  claimReads: number;
  /** Virtual time until all shards have an owner again. */
  unownedMs: number;
}

const countOwnedShards = ({ fleet }: MeasuredFleet): number =>
  fleet
    .listLiveNodes()
    .reduce((sum, { entryVm }) => sum + entryVm.components.shards.owned().length, 0);

/** Crashes the VM that owns the most shards, and counts the calls of the takeover. */
const measureLoss = async (entryVms: number, seed: number): Promise<LossCounts> => {
  const measuredFleet = new MeasuredFleet({ ...IDLE_LOAD, entryVms }, seed);
  const { fleet, counters } = measuredFleet;
  await measuredFleet.start();
  const [lostNode] = fleet
    .listLiveNodes()
    .toSorted(
      (a, b) =>
        b.entryVm.components.shards.owned().length - a.entryVm.components.shards.owned().length,
    );
  const shardsLost = lostNode!.entryVm.components.shards.owned().length;
  const total = countOwnedShards(measuredFleet);
  counters.reset();
  fleet.crash(lostNode!.host.id);
  let unownedMs = 0;
  for (let elapsed = 0; elapsed < TAKEOVER_MS; elapsed += 100) {
    await fleet.advance(100);
    if (countOwnedShards(measuredFleet) < total) unownedMs = elapsed + 100;
  }
  const countCalls = (purpose: KeyValuePurpose): number =>
    (counters.reads.get(purpose) ?? 0) + (counters.writes.get(purpose) ?? 0);
  return {
    entryVms,
    shardsLost,
    acquisitionCalls: countCalls(KeyValuePurpose.ShardAcquisitions),
    jobReads: countCalls(KeyValuePurpose.JobReads),
    claimReads: countCalls(KeyValuePurpose.Claims),
    unownedMs,
  };
};

/** Counts the key-value calls of all cases. */
export const measureKeyValue = async ({
  seed,
  quick,
}: MeasurementOptions): Promise<FleetCounts[]> => {
  const counts: FleetCounts[] = [];
  for (const { name, sizes, createLoad } of FLEET_CASES) {
    for (const size of quick ? sizes.slice(0, 2) : sizes) {
      counts.push(await measureFleet(name, size, createLoad(size), seed));
    }
  }
  return counts;
};

/** Counts the key-value calls after the loss of one VM, for several fleet sizes. */
export const measureLosses = async ({ seed, quick }: MeasurementOptions): Promise<LossCounts[]> => {
  const counts: LossCounts[] = [];
  for (const entryVms of quick ? [4, 8] : [4, 8, 16, 32]) {
    counts.push(await measureLoss(entryVms, seed));
  }
  return counts;
};
