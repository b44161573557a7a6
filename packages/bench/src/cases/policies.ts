/** Compares policies that divide slots between online and batch work under the same seeded load. */
import { CapacityPolicyName } from '@jujubelanding/batch-capacity';
import type { BatchLedger } from '../batch-ledger.js';
import type { Deployment } from '../deployments.js';
import { VARIABLE_RATE_SHAPE } from '../online-load.js';
import { mergeFigures, type Figures } from '../report.js';
import { computeSpread, Samples } from '../statistics.js';
import {
  Bound,
  FIRST_TOKEN_RATIO_TARGET,
  IDLE_SHARE_TARGET,
  INTER_TOKEN_RATIO_TARGET,
  evaluateTarget,
  YIELD_TARGET_MS,
} from '../targets.js';
import { measureYieldTimes } from '../yield-times.js';
import type { BenchCase, RunResult } from './bench-case.js';
import { computeOnlineFigures } from './online-figures.js';
import { runOnline } from './online-run.js';

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

export interface PolicyRunOptions {
  deployment: Deployment;
  policy: BenchPolicy;
  seed: number;
  seconds: number;
}

const computeBatchFigures = ({ totals }: BatchLedger, seconds: number): Figures => ({
  batchTokensPerSecond: (totals.tokens - totals.wastedTokens) / seconds,
  batchItemsPerSecond: totals.completedItems / seconds,
  batchSlotSeconds: totals.slotMs / 1000,
  usefulSlotSeconds: totals.usefulSlotMs / 1000,
  wastedTokenShare: totals.tokens === 0 ? 0 : totals.wastedTokens / totals.tokens,
  preemptions: totals.preemptions,
});

/** Runs one policy with one seed. */
export const runPolicy = async (run: PolicyRunOptions): Promise<RunResult> => {
  const { deployment, policy, seed, seconds } = run;
  const batchPolicy = CAPACITY_POLICIES[policy];
  const { fleet, driver, load, window } = await runOnline({
    deployment,
    seed,
    seconds,
    shape: policy === BenchPolicy.BatchOnly ? undefined : VARIABLE_RATE_SHAPE,
    ...(batchPolicy === undefined ? {} : { batchPolicy }),
  });
  const bursts = load.bursts.filter(({ from }) => from >= window.from);
  const yields = new Samples();
  measureYieldTimes(fleet.engines, bursts).forEach((time) => yields.add(time));
  const idleMs = fleet.engines.reduce((sum, engine) => sum + engine.idleSlotMs, 0);
  const figures = {
    ...computeOnlineFigures(driver.measurements),
    idleSlotSeconds: idleMs / 1000,
    ...computeBatchFigures(fleet.ledger, seconds),
    bursts: bursts.length,
    yieldP50Ms: yields.percentile(50),
    yieldMaxMs: yields.percentile(100),
  };
  return { figures, firstTokenMs: driver.measurements.firstTokenMs.list() };
};

/** Computes the figures of a policy relative to those of `onlineOnly` for the same seeds. */
const computeRatios = (runs: readonly Figures[], baseline: readonly Figures[]) => {
  const computeRatio = (value: string, base: string) =>
    computeSpread(runs.map((run, index) => run[value]! / baseline[index]![base]!));
  const { AtMost, AtLeast } = Bound;
  const firstToken = computeRatio('firstTokenP99Ms', 'firstTokenP99Ms');
  const interToken = computeRatio('interTokenP99Ms', 'interTokenP99Ms');
  const idleShare = computeRatio('usefulSlotSeconds', 'idleSlotSeconds');
  const yieldMax = computeSpread(runs.map((run) => run.yieldMaxMs!));
  return {
    ...evaluateTarget('firstTokenP99Ratio', firstToken, AtMost, FIRST_TOKEN_RATIO_TARGET),
    ...evaluateTarget('interTokenP99Ratio', interToken, AtMost, INTER_TOKEN_RATIO_TARGET),
    ...evaluateTarget('idleShareUsed', idleShare, AtLeast, IDLE_SHARE_TARGET),
    ...evaluateTarget('yieldMaxMs', yieldMax, AtMost, YIELD_TARGET_MS),
  };
};

const BASELINE_POLICY = BenchPolicy.OnlineOnly;

/** Policies that run online and batch load together. */
const MIXED_POLICIES = [BenchPolicy.Fifo, BenchPolicy.StaticSplit, BenchPolicy.Jujubelanding];

/**
 * Creates the case for a deployment; it reports one line per policy, then the ratios to
 * `onlineOnly`.
 */
export const createPoliciesCase = (deployment: Deployment): BenchCase => ({
  variants: Object.values(BenchPolicy),
  run: ({ variant, seed, seconds }) =>
    runPolicy({ deployment, policy: variant as BenchPolicy, seed, seconds }),
  summarize: (results, firstTokenMs) => {
    const common = { deployment: deployment.name, workers: deployment.workers };
    const policies = [...results].map(([policy, runs]) => ({
      case: 'policies',
      fields: { ...common, policy, ...mergeFigures(runs) },
    }));
    const baseline = results.get(BASELINE_POLICY)!;
    const getPooledP99 = (policy: BenchPolicy): number => firstTokenMs.get(policy)!.percentile(99);
    const ratios = MIXED_POLICIES.map((policy) => ({
      case: 'ratios',
      fields: {
        ...common,
        policy,
        firstTokenP99PooledRatio: getPooledP99(policy) / getPooledP99(BASELINE_POLICY),
        ...computeRatios(results.get(policy)!, baseline),
      },
    }));
    return [...policies, ...ratios];
  },
});
