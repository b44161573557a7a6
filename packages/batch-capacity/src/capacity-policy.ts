/** Policies that limit how many batch items may run on a worker; pure functions. */
import { CapacityPolicyName } from './policy-name.js';
import { computeReserve, type Reserve } from './reserve.js';

/** Usage of one worker at a point in time. */
export interface WorkerUsage {
  slots: number;
  /** Online requests in progress from all entry VMs. */
  online: number;
  /** Batch streams of an earlier shard owner that still run on the worker. */
  foreignBatch: number;
}

/** State of a worker that is carried over to the next decision. */
export interface CapacityState {
  usage: WorkerUsage;
  reserve: Reserve;
}

export interface CapacityDecision {
  /** Batch items that may run. */
  limit: number;
  state: CapacityState;
}

/** Evaluated on each change of a worker's usage, and periodically. */
export interface CapacityPolicy {
  readonly name: CapacityPolicyName;
  decide(previous: CapacityState | undefined, usage: WorkerUsage, now: number): CapacityDecision;
}

type LimitRule = (usage: WorkerUsage, reserve: number) => number;

/** Share of the slots that the static baseline allots to batch work. */
const STATIC_BATCH_SHARE = 0.5;

const LIMIT_RULES: Record<CapacityPolicyName, LimitRule> = {
  [CapacityPolicyName.Adaptive]: ({ slots, online }, reserve) => slots - online - reserve,
  [CapacityPolicyName.Fifo]: ({ slots }) => slots,
  [CapacityPolicyName.StaticSplit]: ({ slots }) => Math.floor(slots * STATIC_BATCH_SHARE),
  [CapacityPolicyName.OnlineOnly]: () => 0,
  [CapacityPolicyName.BatchOnly]: ({ slots }) => slots,
};

/** Creates a policy by name; all but `adaptive` are baselines for benchmarks. */
export const createCapacityPolicy = (name: CapacityPolicyName): CapacityPolicy => ({
  name,
  decide: (previous, usage, now) => {
    const reserve = computeReserve(previous?.reserve, usage.online, usage.slots, now);
    const limit = LIMIT_RULES[name](usage, reserve.slots) - usage.foreignBatch;
    return { limit: Math.max(0, Math.floor(limit)), state: { usage, reserve } };
  },
});
