/**
 * Projects the key-value calls of a scenario by purpose, from counted rates and the load of the
 * scenario.
 */
import { SHARD_COUNT } from '@jujubelanding/types';
import { interpolate, predict } from './fit.js';
import type { FleetCounts } from './measure/key-value.js';
import { KeyValuePurpose } from './key-value-purposes.js';
import type { Results } from './results.js';
import { estimateOwners, computeExpectedOwners, type Scenario } from './scenario.js';

export interface KeyValueProjection {
  purpose: string;
  reads: number;
  writes: number;
  from: string;
}

const SECONDS_PER_DAY = 86_400;
/** VM failures and restarts per day in the design; each moves the shards of a VM. */
const VM_LOSSES_PER_DAY = 141;

/** Computes the rate of the largest counted fleet per unit of its size. */
const computeRatePer = (
  counts: FleetCounts[],
  purpose: KeyValuePurpose,
  kind: 'reads' | 'writes',
  getSize: (counts: FleetCounts) => number,
): number => {
  const last = counts.at(-1);
  return last === undefined ? 0 : (last[kind][purpose] ?? 0) / getSize(last);
};

/** Computes the calls per shard that changes its owner, from the simulated VM losses. */
const computeCallsPerShard = ({ losses }: Results): number => {
  const calls = losses.reduce((sum, loss) => sum + loss.acquisitionCalls, 0);
  return calls / losses.reduce((sum, loss) => sum + loss.shardsLost, 0);
};

const projectOwnership = (results: Results, scenario: Scenario): KeyValueProjection[] => {
  const idle = results.keyValue.filter((counts) => counts.case === 'idleByVms');
  const owners = estimateOwners(scenario);
  const projectOwnerRate = (purpose: KeyValuePurpose, kind: 'reads' | 'writes'): number =>
    owners *
    computeRatePer(idle, purpose, kind, ({ load }) => computeExpectedOwners(load.entryVms));
  const movedShards = (VM_LOSSES_PER_DAY * (scenario.entryVms / 410) * 64) / scenario.entryVms;
  const acquisitions = (movedShards * computeCallsPerShard(results)) / SECONDS_PER_DAY;
  return [
    {
      purpose: 'lease renewals',
      reads: 0,
      writes: projectOwnerRate(KeyValuePurpose.LeaseRenewals, 'writes'),
      from: `counted per owner, ${owners.toFixed(0)} owners`,
    },
    {
      purpose: 'shard audits',
      reads: projectOwnerRate(KeyValuePurpose.ShardAudits, 'reads'),
      writes: 0,
      from: `counted per owner, ${owners.toFixed(0)} owners`,
    },
    {
      purpose: 'shard acquisitions',
      reads: acquisitions / 2,
      writes: acquisitions / 2,
      from: 'counted per moved shard; 141 losses and restarts a day per 410 VMs, halves assumed',
    },
    {
      purpose: 'watches of jobs, renewed',
      reads: computeRatePer(idle, KeyValuePurpose.JobWatches, 'reads', () => 1),
      writes: 0,
      from: 'counted, 64 shards',
    },
  ];
};

/** Projects the claim writes per second of all shards, at most one per claim. */
export const projectClaimWrites = (results: Results, claimsPerSecond: number): number => {
  const { points, fit } = results.series.find(({ id }) => id === 'claims.writes')!;
  const grouped = SHARD_COUNT * interpolate(points, fit, claimsPerSecond / SHARD_COUNT);
  return Math.min(claimsPerSecond, grouped);
};

const projectLoad = (results: Results, scenario: Scenario): KeyValueProjection[] => {
  const owners = estimateOwners(scenario);
  const changes = scenario.configurationChangesPerDay / SECONDS_PER_DAY;
  const jobs = scenario.itemsPerDay / scenario.itemsPerJob / SECONDS_PER_DAY;
  const { fit } = results.series.find(({ id }) => id === 'jobs.chunks')!;
  const commits = jobs * predict(fit, scenario.itemsPerJob);
  const claims = scenario.requestsPerSecond * scenario.claimShare;
  const idle = results.keyValue.filter((counts) => counts.case === 'idleByVms');
  const watches = computeRatePer(idle, KeyValuePurpose.RecordWatches, 'reads', ({ load }) =>
    computeExpectedOwners(load.entryVms),
  );
  return [
    {
      purpose: 'watches of records',
      reads: owners * (watches + changes),
      writes: 0,
      from: 'counted per owner when idle, and one more per owner and change',
    },
    {
      purpose: 'records and history',
      reads: 2 * changes,
      writes: 2 * changes,
      from: 'counted: two reads and two writes per change',
    },
    {
      purpose: 'job records',
      reads: 2 * jobs + commits,
      writes: 2 * jobs + commits,
      from: 'one commit per chunk (upper bound), one watch answer per commit',
    },
    {
      purpose: 'claims',
      reads: 0,
      writes: projectClaimWrites(results, claims),
      from: `${scenario.claimShare * 100}% of requests, assumed; grouped as in claims.writes`,
    },
  ];
};

/** Projects all key-value calls; the last row is the total. */
export const projectKeyValue = (results: Results, scenario: Scenario): KeyValueProjection[] => {
  const rows = [...projectOwnership(results, scenario), ...projectLoad(results, scenario)];
  const sum = (kind: 'reads' | 'writes'): number =>
    rows.reduce((total, row) => total + row[kind], 0);
  const total = { purpose: 'total', reads: sum('reads'), writes: sum('writes'), from: '' };
  return [...rows, total];
};
