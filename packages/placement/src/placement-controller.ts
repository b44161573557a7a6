/**
 * Reconciles the models and adapters loaded on workers with the records; runs on the owner of shard
 * 0.
 */
import type {
  Configuration,
  Directory,
  EntryVmIo,
  ShardTable,
  WorkerLoads,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Subscription } from '@jujubelanding/timer';
import {
  OrderKind,
  RecordKind,
  VmState,
  type LoadReport,
  type Order,
  type Worker,
} from '@jujubelanding/types';
import { LoadRateLimiter } from './load-rate-limiter.js';
import {
  decidePlacement,
  decideRoles,
  updateDemand,
  type Demand,
  type PlacementOrder,
  type PlacementReason,
  type PlacementWorker,
  type RoleOrder,
  type Target,
} from './placement-decision.js';
import { WorkerReports } from './worker-reports.js';

const PLACEMENT_SHARD = 0;
const TICK_MS = 1000;
/**
 * A load that is not reported after twice its duration, or after this time if longer, is ordered
 * again.
 */
const MIN_LOAD_TIMEOUT_MS = 60_000;
/** A change of role that is not reported within this time is ordered again. */
const ROLE_CHANGE_TIMEOUT_MS = 60_000;

export interface PlacementControllerOptions {
  io: Pick<EntryVmIo, 'timer' | 'backendServers' | 'weightStore' | 'createLog'>;
  configuration: Configuration;
  shards: ShardTable;
  directory: Directory;
  loads: WorkerLoads;
}

enum SendStatus {
  NotSent = 'not-sent',
  Accepted = 'accepted',
  /** Rejected, or not answered. */
  Failed = 'failed',
}

interface PendingLoad {
  target: string;
  version: string;
  deadline: number;
}

export class PlacementController {
  private readonly log: Log;

  private readonly reports: WorkerReports;

  private readonly rateLimiter: LoadRateLimiter;

  private readonly demands = new Map<string, Demand>();

  /** Ordered loads that have not been reported yet, by worker. */
  private readonly pendingLoads = new Map<string, PendingLoad[]>();

  /** Time until which an ordered change of role may take effect, by worker. */
  private readonly roleChangeDeadlines = new Map<string, number>();

  /**
   * Loaded versions by worker and target. Engines that do not report versions get the version that was
   * ordered, or else the one in the record when the target was first seen.
   */
  private readonly versions = new Map<string, Map<string, string>>();

  private fence: number | undefined;

  private subscription: Subscription | undefined;

  private isRunning = false;

  constructor(private readonly options: PlacementControllerOptions) {
    this.log = options.io.createLog('placement');
    this.reports = new WorkerReports(options.io, options.directory);
    this.rateLimiter = new LoadRateLimiter(options.io);
  }

  start(): void {
    this.subscription = this.options.io.timer.every(TICK_MS, () => {
      void this.run();
    });
  }

  stop(): void {
    this.subscription?.cancel();
  }

  private async run(): Promise<void> {
    if (this.isRunning || !this.options.configuration.isReady()) return;
    this.isRunning = true;
    this.updateOwnership();
    if (this.fence !== undefined) {
      await this.reports.pollNext();
      if (this.reports.isComplete()) await this.reconcile();
    }
    this.isRunning = false;
  }

  /**
   * Resets the state when ownership changes: a new owner knows of no loads in progress and of no
   * earlier reports.
   */
  private updateOwnership(): void {
    const fence = this.options.shards.fenceOf(PLACEMENT_SHARD);
    if (fence === this.fence) return;
    this.fence = fence;
    this.reports.clear();
    this.demands.clear();
    this.pendingLoads.clear();
    this.versions.clear();
    this.roleChangeDeadlines.clear();
  }

  private async reconcile(): Promise<void> {
    const now = this.options.io.timer.now();
    const targets = this.listTargets();
    const workers = this.options.directory
      .all()
      .map((worker) => this.toPlacementWorker(worker, targets));
    targets.forEach((target) => {
      const demand = updateDemand(this.demands.get(target.name), workers, target, now);
      this.demands.set(target.name, demand);
    });
    for (const order of decideRoles(workers)) await this.changeRole(order);
    for (const order of decidePlacement(workers, targets, this.demands, now)) {
      await this.execute(order);
    }
  }

  private listTargets(): Target[] {
    const { configuration } = this.options;
    const models = configuration.list(RecordKind.Model).map(({ name, spec }): Target => ({
      name,
      service: spec.service,
      version: spec.version,
      minWorkers: spec.minWorkers,
      load: OrderKind.LoadModel,
      unload: OrderKind.UnloadModel,
    }));
    const adapters = configuration.list(RecordKind.Adapter).flatMap(({ name, spec }): Target[] => {
      const model = configuration.get(RecordKind.Model, spec.model);
      if (model === undefined) return [];
      return [
        {
          name,
          service: model.spec.service,
          version: spec.version,
          minWorkers: spec.minWorkers,
          load: OrderKind.LoadAdapter,
          unload: OrderKind.UnloadAdapter,
          baseModel: spec.model,
        },
      ];
    });
    return [...models, ...adapters];
  }

  private toPlacementWorker(worker: Worker, targets: readonly Target[]): PlacementWorker {
    const report = this.reports.get(worker.id);
    const load = this.options.loads.get(worker.id);
    const names = [...(report?.models ?? []), ...(report?.adapters ?? [])];
    const versions = this.versions.get(worker.id) ?? new Map<string, string>();
    this.versions.set(worker.id, versions);
    [...versions.keys()]
      .filter((name) => !names.includes(name))
      .forEach((name) => versions.delete(name));
    Object.entries(report?.versions ?? {}).forEach(([name, version]) =>
      versions.set(name, version),
    );
    this.removeSettledLoads(worker.id, names, versions, report?.versions);
    targets.forEach(({ name, version }) => {
      if (names.includes(name) && !versions.has(name)) versions.set(name, version);
    });
    return {
      id: worker.id,
      service: worker.service,
      isLive: worker.state === VmState.Live && report !== undefined,
      slots: report?.slots ?? load.slots,
      online: load.online,
      isBusy: load.online > 0 || (report?.running ?? 0) + (report?.waiting ?? 0) > 0,
      loaded: new Map(names.map((name) => [name, versions.get(name)])),
      pendingLoads: new Set((this.pendingLoads.get(worker.id) ?? []).map(({ target }) => target)),
      role: this.isRoleChanging(worker.id) ? undefined : report?.role,
    };
  }

  private isRoleChanging(workerId: string): boolean {
    return (this.roleChangeDeadlines.get(workerId) ?? 0) > this.options.io.timer.now();
  }

  /** Removes pending loads that are reported as loaded or have timed out. */
  private removeSettledLoads(
    workerId: string,
    loadedNames: string[],
    versions: Map<string, string>,
    reportedVersions: LoadReport['versions'],
  ): void {
    const now = this.options.io.timer.now();
    const pendingLoads = this.pendingLoads.get(workerId) ?? [];
    const isLoaded = ({ target, version }: PendingLoad): boolean =>
      loadedNames.includes(target) && (reportedVersions?.[target] ?? version) === version;
    pendingLoads.filter(isLoaded).forEach(({ target, version }) => versions.set(target, version));
    const remaining = pendingLoads.filter(
      (pending) => !isLoaded(pending) && pending.deadline > now,
    );
    this.pendingLoads.set(workerId, remaining);
  }

  private async execute({ workerId, kind, target, reason }: PlacementOrder): Promise<void> {
    const { name, version } = target;
    if (kind !== target.load) {
      await this.send(workerId, { kind, target: name }, reason);
      return;
    }
    if (!this.rateLimiter.canLoad()) return;
    const weight = this.findWeight(target);
    const duration =
      weight === undefined ? undefined : await this.estimateLoadDuration(name, weight);
    if (weight === undefined || duration === undefined) return;
    const sent = await this.send(workerId, { kind, target: name, version, weight }, reason);
    if (sent === SendStatus.NotSent) return;
    // A load whose order got no answer may have started, so it counts towards the rate limit too.
    this.rateLimiter.reserve(duration);
    if (sent === SendStatus.Failed) return;
    const deadline = this.options.io.timer.now() + Math.max(MIN_LOAD_TIMEOUT_MS, 2 * duration);
    const pendingLoads = this.pendingLoads.get(workerId) ?? [];
    this.pendingLoads.set(workerId, [...pendingLoads, { target: name, version, deadline }]);
  }

  private async changeRole({ workerId, role, reason }: RoleOrder): Promise<void> {
    const { timer } = this.options.io;
    this.roleChangeDeadlines.set(workerId, timer.now() + ROLE_CHANGE_TIMEOUT_MS);
    await this.send(workerId, { kind: OrderKind.ChangeRole, target: role }, reason);
  }

  /** Sends an order under this VM's fencing number, unless the lease on the shard has ended. */
  private async send(
    workerId: string,
    order: Omit<Order, 'fence'>,
    reason: PlacementReason,
  ): Promise<SendStatus> {
    const { io, directory, shards } = this.options;
    const worker = directory.find(workerId);
    const fence = shards.fenceOf(PLACEMENT_SHARD);
    if (worker === undefined || fence === undefined || fence !== this.fence) {
      return SendStatus.NotSent;
    }
    const sent = await io.backendServers.sendOrder(worker, { ...order, fence });
    const result = sent.isOk() ? 'ok' : sent.error.code;
    const { kind, target, version } = order;
    this.log.write('order', { worker: workerId, kind, target, version, reason, fence, result });
    return sent.isOk() ? SendStatus.Accepted : SendStatus.Failed;
  }

  private findWeight({ name, version }: Target): string | undefined {
    const weight = this.options.configuration.get(RecordKind.Version, version)?.spec.weight;
    if (weight === undefined) {
      this.log.write('load-waits', { target: name, reason: `no version record ${version}` });
    }
    return weight;
  }

  private async estimateLoadDuration(name: string, weight: string): Promise<number | undefined> {
    const duration = await this.rateLimiter.estimateDuration(weight);
    if (duration.isOk()) return duration.value;
    this.log.write('load-waits', { target: name, reason: duration.error.message });
    return undefined;
  }
}
