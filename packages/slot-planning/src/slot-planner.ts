import type { FleetLoad } from '@jujubelanding/fleet-load';
import type { Directory, WorkerLoad } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { Random } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { VmState } from '@jujubelanding/types';
import {
  planSlots,
  type PlannedRun,
  type PlannedStart,
  type PlannedWorker,
  type SlotPlan,
  type WaitingItems,
} from './plan-slots.js';

/** Interval of planning besides urgent changes. */
const PLAN_INTERVAL_MS = 50;

/** Shortest interval between two plans. */
const MIN_PLAN_INTERVAL_MS = 10;

/**
 * Time in which a VM that got a slot reports the item that it started there. Two messages of 100 ms at
 * most lead from the VM to the planner, and one of them may be lost.
 */
const GRANT_TIMEOUT_MS = 350;

/** Time after which a preemption is sent again while the item is still reported. */
const CUT_REPEAT_MS = 250;

/**
 * Time in which a new planner only observes: it does not know the grants of the former one, and learns
 * the batch work of the other groups with their next heartbeat.
 */
const LEARNING_MS = 500;

export interface SlotPlannerOptions {
  timer: Timer;
  random: Random;
  log: Log;
  metrics: Metrics;
  loads: Pick<FleetLoad, 'isPlanner' | 'listFleetBatch' | 'sendPlan' | 'onUrgent'> & {
    get(workerId: string): WorkerLoad;
  };
  directory: Pick<Directory, 'all'>;
  zoneOf: (entryVmId: string) => string;
  /** True once this VM knows the other VMs; until then it would plan for itself alone. */
  isReady: () => boolean;
}

interface Grant {
  run: PlannedRun;
  service: string;
  grantedAt: number;
}

type VmWork = ReturnType<FleetLoad['listFleetBatch']>[number];

/** Plans batch slots while this VM is the planner, and sends each VM its part of the plan. */
export class SlotPlanner {
  /** Grants whose items have not been reported, by run id. */
  private readonly grants = new Map<string, Grant>();

  /** Time at which each reported item was preempted. */
  private readonly cutAt = new Map<string, number>();

  private readonly subscriptions: Subscription[] = [];

  private plannedAt = -Infinity;

  private plannerSince: number | undefined;

  constructor(private readonly options: SlotPlannerOptions) {}

  start(): void {
    const { timer, loads } = this.options;
    this.subscriptions.push(
      timer.every(PLAN_INTERVAL_MS, () => this.plan()),
      loads.onUrgent(() => this.plan()),
    );
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  private plan(): void {
    const { timer, loads, isReady } = this.options;
    const now = timer.now();
    if (now - this.plannedAt < MIN_PLAN_INTERVAL_MS) return;
    this.plannedAt = now;
    if (!isReady() || !loads.isPlanner) {
      this.resign();
      return;
    }
    if (this.plannerSince === undefined) {
      this.plannerSince = now;
      this.options.log.write('planner-began', {});
    }
    const work = loads.listFleetBatch();
    const runs = this.listRuns(work, now);
    const waiting = this.listWaiting(work);
    const services = new Set(waiting.map(({ service }) => service));
    if (runs.length === 0 && waiting.length === 0) return;
    const workers = this.listWorkers(services, runs, work);
    this.carryOut(planSlots(workers, { runs, waiting }), now);
  }

  private resign(): void {
    if (this.plannerSince === undefined) return;
    this.plannerSince = undefined;
    this.grants.clear();
    this.cutAt.clear();
    this.options.log.write('planner-ended', {});
  }

  /** Lists items in progress and grants that are not reported yet, without preempted items. */
  private listRuns(work: readonly VmWork[], now: number): PlannedRun[] {
    const reported = work.flatMap(([entryVmId, { runs }]) =>
      runs.map(([runId, workerId, dueAt]): PlannedRun => ({ runId, entryVmId, workerId, dueAt })),
    );
    const reportedIds = new Set(reported.map(({ runId }) => runId));
    for (const [runId, { grantedAt }] of this.grants) {
      if (reportedIds.has(runId) || now - grantedAt > GRANT_TIMEOUT_MS) this.grants.delete(runId);
    }
    for (const runId of this.cutAt.keys()) if (!reportedIds.has(runId)) this.cutAt.delete(runId);
    const remaining = reported.filter(
      ({ runId }) => now - (this.cutAt.get(runId) ?? -Infinity) > CUT_REPEAT_MS,
    );
    return [...remaining, ...[...this.grants.values()].map(({ run }) => run)];
  }

  /** Lists waiting items, without those for which a grant is on the way. */
  private listWaiting(work: readonly VmWork[]): WaitingItems[] {
    const granted = new Map<string, number>();
    for (const { run, service } of this.grants.values()) {
      const key = `${run.entryVmId}|${service}|${run.dueAt}`;
      granted.set(key, (granted.get(key) ?? 0) + 1);
    }
    return work.flatMap(([entryVmId, { waiting }]) =>
      waiting.map(([service, dueAt, items]) => ({
        entryVmId,
        availabilityZone: this.options.zoneOf(entryVmId),
        service,
        dueAt,
        items: items - (granted.get(`${entryVmId}|${service}|${dueAt}`) ?? 0),
      })),
    );
  }

  private listWorkers(
    waitingServices: ReadonlySet<string>,
    runs: readonly PlannedRun[],
    work: readonly VmWork[],
  ): PlannedWorker[] {
    const { loads, directory } = this.options;
    const avoided = new Set(work.flatMap(([, batch]) => batch.avoided));
    const live = directory.all().filter(({ state }) => state === VmState.Live);
    const busyIds = new Set(runs.map(({ workerId }) => workerId));
    const busyServices = live.filter(({ id }) => busyIds.has(id)).map(({ service }) => service);
    const services = new Set([...waitingServices, ...busyServices]);
    return live
      .filter(({ service }) => services.has(service))
      .map(({ id, service, availabilityZone }) => {
        const { slots, online } = loads.get(id);
        const isAvoided = avoided.has(id);
        return { workerId: id, service, availabilityZone, slots, online, isAvoided };
      });
  }

  private carryOut({ starts, cuts }: SlotPlan, now: number): void {
    const granted = now - this.plannerSince! < LEARNING_MS ? [] : starts;
    const parts = new Map<string, { starts: [string, string, string][]; cuts: string[] }>();
    const partOf = (entryVmId: string) => {
      const part = parts.get(entryVmId) ?? { starts: [], cuts: [] };
      parts.set(entryVmId, part);
      return part;
    };
    cuts.forEach(({ entryVmId, runId }) => {
      this.cutAt.set(runId, now);
      // A grant that is not reported yet is withdrawn by the same message.
      this.grants.delete(runId);
      partOf(entryVmId).cuts.push(runId);
    });
    granted.forEach((start) => {
      const runId = this.grant(start, now);
      partOf(start.entryVmId).starts.push([runId, start.workerId, start.service]);
    });
    parts.forEach((part, entryVmId) =>
      this.options.loads.sendPlan(entryVmId, part.starts, part.cuts),
    );
    this.report(granted.length, cuts.length);
  }

  private grant({ entryVmId, workerId, service, dueAt }: PlannedStart, now: number): string {
    const runId = this.options.random.createId();
    const run = { runId, entryVmId, workerId, dueAt };
    this.grants.set(runId, { run, service, grantedAt: now });
    return runId;
  }

  private report(starts: number, cuts: number): void {
    if (starts === 0 && cuts === 0) return;
    this.options.log.write('slots-planned', { starts, cuts, grants: this.grants.size });
    this.options.metrics.increment('batch.slots_granted', {}, starts);
    this.options.metrics.increment('batch.slots_taken_back', {}, cuts);
  }
}
