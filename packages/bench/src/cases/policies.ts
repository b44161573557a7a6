/** Online against batch: policies that divide the slots, on the same seeded load. */
import { CapacityPolicyName } from '@jujubelanding/batch-capacity';
import { BenchFleet } from '../bench-fleet.js';
import { countSlots, type Deployment } from '../deployments.js';
import { CHANGING_SHAPE, createOnlineLoad, type OnlineLoad } from '../online-load.js';
import { OnlinePlayer } from '../online-player.js';
import { mergeFigures, type Figures } from '../report.js';
import { computeSpread, Samples } from '../statistics.js';
import {
  Bound,
  FIRST_TOKEN_RATIO_TARGET,
  IDLE_SHARE_TARGET,
  INTER_TOKEN_RATIO_TARGET,
  judge,
  YIELD_TARGET_MS,
} from '../targets.js';
import { measureYieldTimes } from '../yield-times.js';
import type { BenchCase } from './bench-case.js';

/** Time until batch work fills the fleet. */
const WARM_UP_MS = 5000;

export enum BenchPolicy {
  OnlineOnly = 'onlineOnly',
  BatchOnly = 'batchOnly',
  Fifo = 'fifo',
  StaticSplit = 'staticSplit',
  Jujubelanding = 'jujubelanding',
}

const CAPACITY_POLICIES: Record<BenchPolicy, CapacityPolicyName | undefined> = {
  [BenchPolicy.OnlineOnly]: undefined,
  [BenchPolicy.BatchOnly]: CapacityPolicyName.BatchOnly,
  [BenchPolicy.Fifo]: CapacityPolicyName.Fifo,
  [BenchPolicy.StaticSplit]: CapacityPolicyName.StaticSplit,
  [BenchPolicy.Jujubelanding]: CapacityPolicyName.Adaptive,
};

const NO_LOAD: OnlineLoad = { arrivals: [], bursts: [] };

export interface PolicyRun {
  deployment: Deployment;
  policy: BenchPolicy;
  seed: number;
  seconds: number;
}

const collectFigures = (
  fleet: BenchFleet,
  { record }: OnlinePlayer,
  load: OnlineLoad,
  seconds: number,
): Figures => {
  const { totals } = fleet.ledger;
  const { firstTokenMs, interTokenMs } = record;
  const yields = new Samples();
  const bursts = load.bursts.filter(({ from }) => from >= WARM_UP_MS);
  measureYieldTimes(fleet.engines, bursts).forEach((time) => yields.add(time));
  const idleMs = fleet.engines.reduce((sum, engine) => sum + engine.idleSlotMs, 0);
  return {
    requests: record.requests,
    failed: record.failed,
    firstTokenP50Ms: firstTokenMs.percentile(50),
    firstTokenP95Ms: firstTokenMs.percentile(95),
    firstTokenP99Ms: firstTokenMs.percentile(99),
    interTokenP99Ms: interTokenMs.percentile(99),
    batchTokensPerSecond: (totals.tokens - totals.wastedTokens) / seconds,
    batchItemsPerSecond: totals.completedItems / seconds,
    idleSlotSeconds: idleMs / 1000,
    batchSlotSeconds: totals.slotMs / 1000,
    usefulSlotSeconds: totals.usefulSlotMs / 1000,
    bursts: bursts.length,
    yieldP50Ms: yields.percentile(50),
    yieldMaxMs: yields.percentile(100),
    wastedTokenShare: totals.tokens === 0 ? 0 : totals.wastedTokens / totals.tokens,
    preemptions: totals.preemptions,
  };
};

/** Runs one policy under one seed. */
export const runPolicy = async ({
  deployment,
  policy,
  seed,
  seconds,
}: PolicyRun): Promise<Figures> => {
  const window = { from: WARM_UP_MS, to: WARM_UP_MS + seconds * 1000 };
  const batchPolicy = CAPACITY_POLICIES[policy];
  const fleet = new BenchFleet({
    deployment,
    seed,
    window,
    ...(batchPolicy === undefined ? {} : { batchPolicy }),
  });
  const load =
    policy === BenchPolicy.BatchOnly
      ? NO_LOAD
      : createOnlineLoad({
          seed,
          durationMs: window.to,
          slots: countSlots(deployment),
          entryVms: deployment.entryVms,
          shape: CHANGING_SHAPE,
        });
  const player = new OnlinePlayer(fleet, load.arrivals, window);
  player.start();
  await fleet.runUntil(window.to);
  await player.drain();
  fleet.finish();
  return collectFigures(fleet, player, load, seconds);
};

/** Figures of a policy relative to those of `onlineOnly` under the same seeds. */
const compare = (runs: readonly Figures[], baseline: readonly Figures[]) => {
  const divide = (value: string, base: string) =>
    computeSpread(runs.map((run, index) => run[value]! / baseline[index]![base]!));
  const { AtMost, AtLeast } = Bound;
  const firstToken = divide('firstTokenP99Ms', 'firstTokenP99Ms');
  const interToken = divide('interTokenP99Ms', 'interTokenP99Ms');
  const idleShare = divide('usefulSlotSeconds', 'idleSlotSeconds');
  const yieldMax = computeSpread(runs.map((run) => run.yieldMaxMs!));
  return {
    ...judge('firstTokenP99Ratio', firstToken, AtMost, FIRST_TOKEN_RATIO_TARGET),
    ...judge('interTokenP99Ratio', interToken, AtMost, INTER_TOKEN_RATIO_TARGET),
    ...judge('idleShareUsed', idleShare, AtLeast, IDLE_SHARE_TARGET),
    ...judge('yieldMaxMs', yieldMax, AtMost, YIELD_TARGET_MS),
  };
};

const BASELINE = BenchPolicy.OnlineOnly;

/** Policies that run both kinds of load. */
const COMPARED = [BenchPolicy.Fifo, BenchPolicy.StaticSplit, BenchPolicy.Jujubelanding];

/** Creates the case for a deployment; its lines are one per policy and the ratios. */
export const createPoliciesCase = (deployment: Deployment): BenchCase => ({
  variants: Object.values(BenchPolicy),
  run: ({ variant, seed, seconds }) =>
    runPolicy({ deployment, policy: variant as BenchPolicy, seed, seconds }),
  summarize: (results) => {
    const common = { deployment: deployment.name, workers: deployment.workers };
    const policies = [...results].map(([policy, runs]) => ({
      case: 'policies',
      fields: { ...common, policy, ...mergeFigures(runs) },
    }));
    const baseline = results.get(BASELINE)!;
    const ratios = COMPARED.map((policy) => ({
      case: 'ratios',
      fields: { ...common, policy, ...compare(results.get(policy)!, baseline) },
    }));
    return [...policies, ...ratios];
  },
});
