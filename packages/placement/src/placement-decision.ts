/** Decides which models and adapters workers load and unload; pure functions. */
import { OrderKind, WorkerRole } from '@jujubelanding/types';

/** A model or adapter that should be available. */
export interface Target {
  name: string;
  service: string;
  version: string;
  minWorkers: number;
  load: OrderKind.LoadModel | OrderKind.LoadAdapter;
  unload: OrderKind.UnloadModel | OrderKind.UnloadAdapter;
  /** Model that must be loaded on the same worker; only for adapters. */
  baseModel?: string;
}

export interface PlacementWorker {
  id: string;
  service: string;
  isLive: boolean;
  slots: number;
  /** Online requests in progress. */
  online: number;
  /** True while requests run or wait on the worker. */
  isBusy: boolean;
  /** Loaded models and adapters, with their version if known. */
  loaded: ReadonlyMap<string, string | undefined>;
  /** Targets whose load was ordered and has not been reported yet. */
  pendingLoads: ReadonlySet<string>;
  /** Reported role; undefined while a change of role is pending. */
  role: WorkerRole | undefined;
}

export enum PlacementReason {
  BelowMinimum = 'below-minimum',
  Demand = 'demand',
  OldVersion = 'old-version',
  Surplus = 'surplus',
  OtherRole = 'other-role',
}

export interface PlacementOrder {
  workerId: string;
  kind: OrderKind;
  target: Target;
  reason: PlacementReason;
}

export interface RoleOrder {
  workerId: string;
  role: WorkerRole;
  reason: PlacementReason;
}

/** Times since which the utilization of a target's workers has been high or low. */
export interface Demand {
  highSince?: number;
  lowSince?: number;
}

/** Fraction of slots used by online requests from which the target is loaded on another worker. */
const HIGH_UTILIZATION = 0.7;
/** Fraction of slots used by online requests up to which a surplus copy is unloaded. */
const LOW_UTILIZATION = 0.2;
/**
 * Online load changes every few seconds; loading takes longer and should only follow a lasting
 * trend.
 */
const SCALE_UP_DELAY_MS = 10_000;
const SCALE_DOWN_DELAY_MS = 300_000;

const hasTarget = (worker: PlacementWorker, { name }: Target): boolean => worker.loaded.has(name);

const findHolders = (workers: readonly PlacementWorker[], target: Target): PlacementWorker[] =>
  workers.filter((worker) => worker.isLive && hasTarget(worker, target));

/** Tracks since when the utilization of a target's workers has been high or low. */
export const updateDemand = (
  previous: Demand | undefined,
  workers: readonly PlacementWorker[],
  target: Target,
  now: number,
): Demand => {
  const holders = findHolders(workers, target);
  const slots = holders.reduce((sum, worker) => sum + worker.slots, 0);
  if (slots === 0) return {};
  const utilization = holders.reduce((sum, worker) => sum + worker.online, 0) / slots;
  return {
    ...(utilization >= HIGH_UTILIZATION ? { highSince: previous?.highSince ?? now } : {}),
    ...(utilization <= LOW_UTILIZATION ? { lowSince: previous?.lowSince ?? now } : {}),
  };
};

const chooseLoadWorker = (
  workers: readonly PlacementWorker[],
  target: Target,
): PlacementWorker | undefined =>
  workers
    .filter(
      (worker) =>
        worker.isLive &&
        worker.service === target.service &&
        !hasTarget(worker, target) &&
        !worker.pendingLoads.has(target.name) &&
        (target.baseModel === undefined || worker.loaded.has(target.baseModel)),
    )
    .toSorted(
      (a, b) =>
        a.loaded.size + a.pendingLoads.size - b.loaded.size - b.pendingLoads.size ||
        a.online - b.online ||
        (a.id < b.id ? -1 : 1),
    )[0];

const decideLoad = (
  workers: readonly PlacementWorker[],
  target: Target,
  demand: Demand,
  now: number,
): PlacementOrder | undefined => {
  const loading = workers.filter(
    ({ isLive, pendingLoads }) => isLive && pendingLoads.has(target.name),
  );
  const count = findHolders(workers, target).length + loading.length;
  const isDemandHigh =
    demand.highSince !== undefined &&
    now - demand.highSince >= SCALE_UP_DELAY_MS &&
    loading.length === 0;
  if (count >= target.minWorkers && !isDemandHigh) return undefined;
  const worker = chooseLoadWorker(workers, target);
  if (worker === undefined) return undefined;
  const reason = count < target.minWorkers ? PlacementReason.BelowMinimum : PlacementReason.Demand;
  return { workerId: worker.id, kind: target.load, target, reason };
};

/** Unloads an idle outdated copy if there are others; otherwise loads the new version in place. */
const decideVersionChange = (
  workers: readonly PlacementWorker[],
  target: Target,
): PlacementOrder | undefined => {
  const holders = findHolders(workers, target);
  const outdated = holders.filter(({ loaded }) => {
    const version = loaded.get(target.name);
    return version !== undefined && version !== target.version;
  });
  const isLoading = workers.some(({ pendingLoads }) => pendingLoads.has(target.name));
  if (outdated.length === 0 || isLoading) return undefined;
  const reason = PlacementReason.OldVersion;
  const idle = outdated.find(({ isBusy }) => !isBusy);
  if (holders.length > 1 && idle !== undefined) {
    return { workerId: idle.id, kind: target.unload, target, reason };
  }
  const [worker] = outdated;
  return { workerId: worker!.id, kind: target.load, target, reason };
};

const decideUnload = (
  workers: readonly PlacementWorker[],
  target: Target,
  demand: Demand,
  now: number,
): PlacementOrder | undefined => {
  const holders = findHolders(workers, target);
  const isLow = demand.lowSince !== undefined && now - demand.lowSince >= SCALE_DOWN_DELAY_MS;
  if (!isLow || holders.length <= Math.max(1, target.minWorkers)) return undefined;
  const worker = holders.find(({ isBusy }) => !isBusy);
  if (worker === undefined) return undefined;
  return { workerId: worker.id, kind: target.unload, target, reason: PlacementReason.Surplus };
};

/** Returns at most one order per target; the next one follows once its effect is reported. */
export const decidePlacement = (
  workers: readonly PlacementWorker[],
  targets: readonly Target[],
  demands: ReadonlyMap<string, Demand>,
  now: number,
): PlacementOrder[] =>
  targets.flatMap((target) => {
    const demand = demands.get(target.name) ?? {};
    const order =
      decideLoad(workers, target, demand, now) ??
      decideVersionChange(workers, target) ??
      decideUnload(workers, target, demand, now);
    return order === undefined ? [] : [order];
  });

/**
 * Returns orders that switch workers back to the mixed role. Each request is sent to a single worker, so
 * a worker that only prefills or only decodes, for example because another system used it before, cannot
 * serve it.
 */
export const decideRoles = (workers: readonly PlacementWorker[]): RoleOrder[] =>
  workers
    .filter(({ isLive, role }) => isLive && role !== undefined && role !== WorkerRole.Mixed)
    .map(({ id }) => ({
      workerId: id,
      role: WorkerRole.Mixed,
      reason: PlacementReason.OtherRole,
    }));
