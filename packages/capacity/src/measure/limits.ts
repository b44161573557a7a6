/** Cost of team limits for the holder and the limit owner. */
import { GrantDivision, TeamLimitsController } from '@jujubelanding/limits';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { PeerMethod } from '@jujubelanding/peer-protocol';
import { VirtualTimer } from '@jujubelanding/timer';
import { RecordKind, type TeamRecord } from '@jujubelanding/types';
import {
  assignShards,
  createConfiguration,
  createMembers,
  createMembership,
  createShardTable,
} from '../parts.js';
import { measureHeapBytes, measureSynchronous } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  type MeasureOptions,
  type Series,
} from '../series.js';
import { Wire } from '../wire.js';

const HOLDERS = [8, 32, 128, 410];
const ACTIVE_TEAMS = [10, 50, 100, 300];
const MEASURED_SECONDS = 10;

const bounds: TeamRecord = {
  keyHashes: [],
  requestsPerSecond: 1000,
  burst: 2000,
  concurrency: 10_000,
  maxBodyBytes: 1,
  maxJobItems: 1,
  batchWeight: 1,
};

const measureGrant = (holders: number): Promise<number> => {
  const division = new GrantDivision();
  return measureSynchronous((index) => {
    const entryVmId = `entry-vm-${index % holders}`;
    division.grant({ entryVmId, demandPerSecond: 5, inFlight: 3 }, bounds, index / holders);
  });
};

/** Calls per second of one VM whose teams each have a request in progress. */
const countRenewals = async (teams: number): Promise<number> => {
  const timer = new VirtualTimer();
  const wire = new Wire(timer);
  const members = createMembers(8);
  const owners = assignShards(members);
  const records = Array.from(
    { length: teams },
    (_, index) => [`team-${index}`, { name: `team-${index}`, revision: 1, spec: bounds }] as const,
  );
  const configuration = createConfiguration({ [RecordKind.Team]: new Map(records) });
  const controllers = members.map((member) => {
    const network = wire.createNetwork(member.peerAddress);
    const io = { timer, network, createLog: () => silentLog, metrics: silentMetrics };
    const limits = new TeamLimitsController({
      io,
      entryVmId: member.entryVmId,
      membership: createMembership(member, members),
      shards: createShardTable(member, owners),
      configuration,
    });
    limits.start();
    return limits;
  });
  records.forEach(([team]) => controllers[0]!.admit(team));
  await timer.advance(1500);
  wire.reset();
  await timer.advance(MEASURED_SECONDS * 1000);
  const { calls } = wire.networks.get(members[0]!.peerAddress)!;
  return (calls.get(PeerMethod.RequestGrant) ?? 0) / MEASURED_SECONDS;
};

const measureHeap = (shares: number): Promise<number> =>
  measureHeapBytes(() => {
    const division = new GrantDivision();
    for (let index = 0; index < shares; index += 1) {
      const entryVmId = `entry-vm-${index}`;
      division.grant({ entryVmId, demandPerSecond: 5, inFlight: 3 }, bounds, 0);
    }
    return division;
  });

/** Measures grants; `limits.calls` counts calls of one VM out of eight. */
export const measureLimits = async (_options: MeasureOptions): Promise<Series[]> => {
  const grants = await measureEach(HOLDERS, measureGrant);
  const renewals = await measureEach(ACTIVE_TEAMS, countRenewals);
  const heaps = await measureEach([1000, 3000, 10_000, 20_000], measureHeap);
  return [
    createSeries(
      {
        id: 'limits.grant',
        title: 'Limit owner: a grant',
        kind: Kind.Processor,
        size: 'holders of the team',
        unit: 'µs per grant',
        source: 'limits/src/grant-division.ts',
      },
      pickPoints(grants, (value) => value),
    ),
    createSeries(
      {
        id: 'limits.calls',
        title: 'Limit holder: calls to owners',
        kind: Kind.Counted,
        size: 'teams with requests on the VM',
        unit: '1/s',
        source: 'limits/src/team-limits.ts',
      },
      pickPoints(renewals, (value) => value),
    ),
    createSeries(
      {
        id: 'limits.heap',
        title: 'Limit owner: heap of the shares',
        kind: Kind.Memory,
        size: 'shares',
        unit: 'B',
        source: 'limits/src/grant-division.ts',
      },
      pickPoints(heaps, (value) => value),
    ),
  ];
};
