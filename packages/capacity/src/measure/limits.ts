/** Measures the cost of team limits for the entry VM that holds grants and for the limit owner. */
import { createShardLimitPort, GrantDivision, TeamLimitsController } from '@jujubelanding/limits';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { createRandom, type Random } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { RecordKind, type TeamRecord } from '@jujubelanding/types';
import {
  assignShards,
  createConfiguration,
  createMembers,
  createMembership,
  createShardTable,
} from '../static-state.js';
import { measureHeapBytes, measureOnceMs, measureSynchronous } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  type MeasurementOptions,
  type Series,
} from '../series.js';
import { MeteredNetworkGroup } from '../metered-network-group.js';

/** Numbers of entry VMs that hold a grant of the same team. */
const HOLDER_COUNTS = [8, 32, 128, 410];
const HOLDERS_PER_TEAM = 50;
const ENTRY_VM_COUNTS = [8, 32, 128, 410];
const REQUESTING_TEAM_COUNTS = [5, 10, 20, 50, 100, 300];
const WARM_UP_MS = 20_000;
const MEASURED_MS = 30_000;

/**
 * 8,300 requests/s and 7,300 teams on 410 entry VMs; a request takes 10 s, as assumed in `DESIGN`.
 */
const REQUESTS_PER_SECOND = 8300 / 410;
const TEAMS_PER_VM = 7300 / 410;
const REQUEST_MS = 10_000;

/** Requests per second of a team over the whole fleet, if all teams have the same demand. */
const MEAN_REQUESTS_PER_SECOND_PER_TEAM = REQUESTS_PER_SECOND / TEAMS_PER_VM;

const REQUESTING_ENTRY_VMS = 8;
const REQUESTING_TEAM_REQUESTS_PER_SECOND = 1;
const REQUESTING_TEAM_REQUEST_MS = 500;

const HIGH_LIMITS: TeamRecord = {
  keyHashes: [],
  requestsPerSecond: 1000,
  burst: 2000,
  concurrency: 10_000,
  maxBodyBytes: 1,
  maxJobItems: 1,
  batchWeight: 1,
};

/** Creates limits that are a multiple of the average use of a team. */
const createLimits = (multiple: number): TeamRecord => ({
  ...HIGH_LIMITS,
  requestsPerSecond: multiple * MEAN_REQUESTS_PER_SECOND_PER_TEAM,
  burst: 2 * multiple * MEAN_REQUESTS_PER_SECOND_PER_TEAM,
  concurrency: Math.ceil((multiple * MEAN_REQUESTS_PER_SECOND_PER_TEAM * REQUEST_MS) / 1000),
});

interface LimitLoad {
  vms: number;
  teams: number;
  limits: TeamRecord;
  requestsPerSecond: number;
  requestMs: number;
}

interface LimitUsage {
  bytes: number;
  datagrams: number;
  processorPercent: number;
  refused: number;
  largestDatagram: number;
  oversizedCount: number;
}

const startControllers = (
  load: LimitLoad,
  timer: VirtualTimer,
  networkGroup: MeteredNetworkGroup,
): TeamLimitsController[] => {
  const members = createMembers(load.vms);
  const owners = assignShards(members);
  const records = Array.from(
    { length: load.teams },
    (_, index) =>
      [`team-${index}`, { name: `team-${index}`, revision: 1, spec: load.limits }] as const,
  );
  const configuration = createConfiguration({ [RecordKind.Team]: new Map(records) });
  return members.map((member) => {
    const network = networkGroup.createNetwork(member.peerAddress);
    const io = { timer, network, createLog: () => silentLog, metrics: silentMetrics };
    const limits = new TeamLimitsController({
      io,
      port: createShardLimitPort({
        io,
        entryVmId: member.entryVmId,
        membership: createMembership(member, members),
        shards: createShardTable(member, owners),
        configuration,
      }),
    });
    // Only the first VM receives requests; other VMs without a shard have nothing to do.
    if (member === members[0] || owners.includes(member)) limits.start();
    return limits;
  });
};

/**
 * Runs the requests of one VM, which holds grants. The bytes that it sends and receives are what the
 * average VM sends if all VMs have this load; processor time is that of the VM and of the owners.
 */
export const measureHolder = async (load: LimitLoad, random: Random): Promise<LimitUsage> => {
  const timer = new VirtualTimer();
  // The VMs own their shards since time 0. Owners that have just started would account for grants of a
  // former owner.
  await timer.advance(60_000);
  const networkGroup = new MeteredNetworkGroup(timer);
  const [holder] = startControllers(load, timer, networkGroup);
  let refused = 0;
  const sendRequest = (): void => {
    const permit = holder!.admit(`team-${random.nextInt(load.teams)}`);
    if (permit.isOk()) timer.after(load.requestMs, () => permit.value.release());
    else refused += 1;
    timer.after((-Math.log(1 - random.next()) * 1000) / load.requestsPerSecond, sendRequest);
  };
  sendRequest();
  await timer.advance(WARM_UP_MS);
  networkGroup.reset();
  refused = 0;
  const elapsedMs = await measureOnceMs(() => timer.advance(MEASURED_MS));
  const { bytesOut, bytesIn, messagesOut, messagesIn } = [...networkGroup.networks.values()][0]!
    .usage;
  const seconds = MEASURED_MS / 1000;
  return {
    bytes: (bytesOut + bytesIn) / seconds,
    datagrams: (messagesOut + messagesIn) / seconds,
    processorPercent: (100 * elapsedMs) / MEASURED_MS,
    refused: refused / seconds / load.requestsPerSecond,
    largestDatagram: networkGroup.largestDatagram,
    oversizedCount: networkGroup.oversizedCount,
  };
};

export const createDesignLoad = (vms: number, multiple: number): LimitLoad => ({
  vms,
  teams: Math.round(vms * TEAMS_PER_VM),
  limits: createLimits(multiple),
  requestsPerSecond: REQUESTS_PER_SECOND,
  requestMs: REQUEST_MS,
});

/**
 * Creates a load of teams that each use half of their limit on one VM, so that each needs a grant.
 */
export const createGrantRequestLoad = (teams: number): LimitLoad => ({
  vms: REQUESTING_ENTRY_VMS,
  teams,
  limits: { ...HIGH_LIMITS, requestsPerSecond: 2, burst: 4, concurrency: 20 },
  requestsPerSecond: teams * REQUESTING_TEAM_REQUESTS_PER_SECOND,
  requestMs: REQUESTING_TEAM_REQUEST_MS,
});

const measureGrant = (holders: number): Promise<number> => {
  const division = new GrantDivision();
  const state = { liveVms: holders, isRecovering: false };
  return measureSynchronous((index) => {
    const entryVmId = `entry-vm-${index % holders}`;
    division.grant(
      { entryVmId, demandPerSecond: 5, inFlight: 3 },
      HIGH_LIMITS,
      index / holders,
      state,
    );
  });
};

/** Spreads the shares over teams, because a team has at most as many holders as there are VMs. */
const measureGrantHeap = (shares: number): Promise<number> =>
  measureHeapBytes(() =>
    Array.from({ length: shares / HOLDERS_PER_TEAM }, () => {
      const division = new GrantDivision();
      for (let index = 0; index < HOLDERS_PER_TEAM; index += 1) {
        const entryVmId = `entry-vm-${index}`;
        division.grant({ entryVmId, demandPerSecond: 5, inFlight: 3 }, HIGH_LIMITS, 0);
      }
      return division;
    }),
  );

const HOLDER_SOURCE = 'limits/src/team-limits.ts, share-requester.ts, limit-owner.ts';
const DIVISION_SOURCE = 'limits/src/grant-division.ts';

const createHeader = (id: string, title: string, kind: Kind, size: string, unit: string) => ({
  ...{ id, title, kind, size, unit },
  source: HOLDER_SOURCE,
});

/**
 * Measures the costs of the design load if the limits are a multiple of the average use of a team.
 */
const measureMultiple = async (multiple: number, id: string, seed: number): Promise<Series[]> => {
  const results = await measureEach(ENTRY_VM_COUNTS, (vms) =>
    measureHolder(createDesignLoad(vms, multiple), createRandom(seed)),
  );
  const title = `Limits of ${multiple} times the mean use`;
  const createLimitSeries = (
    name: string,
    quantity: string,
    kind: Kind,
    unit: string,
    pick: keyof LimitUsage,
  ) =>
    createSeries(
      createHeader(`${id}.${name}`, `${title}: ${quantity}`, kind, 'entry VMs', unit),
      pickPoints(results, (usage) => usage[pick]),
    );
  return [
    createLimitSeries('bytes', 'bytes per VM', Kind.Counted, 'B/s', 'bytes'),
    createLimitSeries('datagrams', 'datagrams per VM', Kind.Counted, '1/s', 'datagrams'),
    createLimitSeries(
      'processor',
      'processor time',
      Kind.Processor,
      '% of a core',
      'processorPercent',
    ),
    createLimitSeries('refused', 'share of requests refused', Kind.Counted, '1', 'refused'),
  ];
};

const measureGrantRequests = async (seed: number): Promise<Series[]> => {
  const results = await measureEach(REQUESTING_TEAM_COUNTS, (teams) =>
    measureHolder(createGrantRequestLoad(teams), createRandom(seed)),
  );
  const size = 'teams that need a grant';
  return [
    createSeries(
      createHeader(
        'limits.askingBytes',
        'Teams with a grant: bytes per VM',
        Kind.Counted,
        size,
        'B/s',
      ),
      pickPoints(results, ({ bytes }) => bytes),
    ),
    createSeries(
      createHeader('limits.largest', 'Limit messages: largest datagram', Kind.Counted, size, 'B'),
      pickPoints(results, ({ largestDatagram }) => largestDatagram),
    ),
  ];
};

const measureOwner = async (): Promise<Series[]> => {
  const grants = await measureEach(HOLDER_COUNTS, measureGrant);
  const heaps = await measureEach([1000, 3000, 10_000, 20_000], measureGrantHeap);
  return [
    createSeries(
      {
        id: 'limits.grant',
        title: 'Limit owner: a grant',
        kind: Kind.Processor,
        size: 'holders of the team',
        unit: 'µs per grant',
        source: DIVISION_SOURCE,
      },
      pickPoints(grants, (value) => value),
    ),
    createSeries(
      {
        id: 'limits.heap',
        title: 'Limit owner: heap of the shares',
        kind: Kind.Memory,
        size: 'shares',
        unit: 'B',
        source: DIVISION_SOURCE,
      },
      pickPoints(heaps, (value) => value),
    ),
  ];
};

/**
 * Measures limits far above the use, and limits so close to it that VMs have to request grants; the
 * costs depend on that distance.
 */
export const measureLimits = async ({ seed }: MeasurementOptions): Promise<Series[]> => [
  ...(await measureOwner()),
  ...(await measureMultiple(100, 'limits.ample', seed)),
  ...(await measureMultiple(10, 'limits', seed)),
  ...(await measureMultiple(2, 'limits.tight', seed)),
  ...(await measureGrantRequests(seed)),
];
