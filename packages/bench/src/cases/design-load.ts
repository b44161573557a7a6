/** The design load at 1/200 of its size, with one emulated engine per accelerator. */
import { CapacityPolicyName } from '@jujubelanding/batch-capacity';
import { DEFAULT_ENGINE_SETTINGS } from '@jujubelanding/stand-ins';
import type { Deployment } from '../deployments.js';
import { createSteadyShape, ArrivalSpacing, type LoadShape } from '../online-load.js';
import { mergeFigures } from '../report.js';
import { computeSpread } from '../statistics.js';
import {
  Bound,
  FIRST_TOKEN_P95_TARGET_MS,
  INTER_TOKEN_P95_TARGET_MS,
  evaluateTarget,
} from '../targets.js';
import type { BenchCase } from './bench-case.js';
import { computeOnlineFigures } from './online-figures.js';
import { runOnline } from './online-run.js';

const SCALE = 0.005;
const ACCELERATORS = 4800;
const REQUESTS_PER_SECOND = 8300;
const TOKENS_PER_SECOND = 1_800_000;

/** Limits the duration of a run, because it simulates 9,000 tokens/s. */
const MAX_SECONDS = 30;

/** Responses take 8 s, so the load becomes steady only after some time. */
const WARM_UP_MS = 20_000;

/**
 * The emulated engine draws response lengths uniformly from 64 to 511 tokens. Truncated at this
 * length, their mean is the 217 tokens per request of the design load.
 */
const MAX_RESPONSE_TOKENS = 260;

/** At this scale there would be two; with four, most entry VMs receive load reports with a delay. */
const ENTRY_VM_COUNT = 4;

const DEPLOYMENT: Deployment = {
  name: 'design-load',
  availabilityZones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
  workers: ACCELERATORS * SCALE,
  entryVms: ENTRY_VM_COUNT,
  remoteDelayMs: 1.5,
  localDelayMs: 0.25,
  engine: { ...DEFAULT_ENGINE_SETTINGS, models: ['base'] },
};

const VARIANTS: Record<string, CapacityPolicyName | undefined> = {
  onlineOnly: undefined,
  onlineAndBatch: CapacityPolicyName.Adaptive,
};

const SHAPE: LoadShape = {
  // With `meanSlotMs` of 1000 a slot serves one request per second, so utilization equals the rate
  // per slot.
  ...createSteadyShape(
    (REQUESTS_PER_SECOND * SCALE) / (DEPLOYMENT.workers * DEPLOYMENT.engine.slots),
  ),
  meanSlotMs: 1000,
  // Relative to its rate, the full design load varies 14 times less than a Poisson process at this
  // scale.
  spacing: ArrivalSpacing.Even,
  responseTokens: {
    median: MAX_RESPONSE_TOKENS,
    sigma: 0,
    least: 1,
    greatest: MAX_RESPONSE_TOKENS,
  },
};

export const designLoadCase: BenchCase = {
  variants: Object.keys(VARIANTS),
  run: async ({ variant, seed, seconds }) => {
    const batchPolicy = VARIANTS[variant];
    const measuredSeconds = Math.min(seconds, MAX_SECONDS);
    const { fleet, driver } = await runOnline({
      deployment: DEPLOYMENT,
      seed,
      seconds: measuredSeconds,
      warmUpMs: WARM_UP_MS,
      shape: SHAPE,
      ...(batchPolicy === undefined ? {} : { batchPolicy }),
    });
    const { measurements } = driver;
    const tokens = measurements.firstTokenMs.count + measurements.interTokenMs.count;
    const idleMs = fleet.engines.reduce((sum, engine) => sum + engine.idleSlotMs, 0);
    const slotMs = measuredSeconds * 1000 * DEPLOYMENT.workers * DEPLOYMENT.engine.slots;
    const figures = {
      ...computeOnlineFigures(measurements),
      measuredSeconds,
      requestsPerSecond: measurements.requests / measuredSeconds,
      tokensPerSecond: tokens / measuredSeconds,
      utilization: 1 - idleMs / slotMs,
      batchItemsPerSecond: fleet.ledger.totals.completedItems / measuredSeconds,
    };
    return { figures };
  },
  summarize: (results) =>
    [...results].map(([variant, runs]) => {
      const computeKeySpread = (key: string) => computeSpread(runs.map((run) => run[key]!));
      const { AtMost } = Bound;
      return {
        case: 'design-load',
        fields: {
          workers: DEPLOYMENT.workers,
          variant,
          designTokensPerSecond: TOKENS_PER_SECOND * SCALE,
          ...mergeFigures(runs),
          ...evaluateTarget(
            'firstTokenP95Ms',
            computeKeySpread('firstTokenP95Ms'),
            AtMost,
            FIRST_TOKEN_P95_TARGET_MS,
          ),
          ...evaluateTarget(
            'interTokenP95Ms',
            computeKeySpread('interTokenP95Ms'),
            AtMost,
            INTER_TOKEN_P95_TARGET_MS,
          ),
        },
      };
    }),
};
