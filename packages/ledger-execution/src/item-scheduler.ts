/** Starts the items of owned jobs on free slots and preempts them for online requests. */
import {
  ItemState,
  type JobTable,
  type JobSnapshot,
  type Ownership,
} from '@jujubelanding/batch-ledger';
import type { FleetLoad, WaitingCount } from '@jujubelanding/fleet-load';
import type { Directory, WorkerLoad } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { RequestForwarder } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import { RouteTable, type Route } from '@jujubelanding/route-table';
import type { Timer } from '@jujubelanding/timer';
import type { Worker } from '@jujubelanding/types';
import { countItemsToPreempt, rankWorkersForBatch } from './batch-capacity.js';
import { computeEffectiveDueAt, RunTimeEstimator } from './item-order.js';
import { ItemRun, RunOutcome, type RunResult } from './item-run.js';
import type { OwnedItem, OwnedJob } from './owned-job.js';
import { WorkerBackoff } from './worker-backoff.js';

/** Delay before an item is run again after a failed run. */
const RETRY_DELAY_MS = 250;

export interface ItemSchedulerOptions {
  timer: Timer;
  random: Random;
  log: Log;
  metrics: Metrics;
  table: JobTable;
  loads: FleetLoad;
  directory: Pick<Directory, 'workersOf'>;
  backends: RequestForwarder;
  readTable: () => RouteTable | undefined;
  self: Ownership;
  availabilityZone: string;
  listOwnedJobs: () => OwnedJob[];
}

interface Candidate {
  ownedJob: OwnedJob;
  snapshot: JobSnapshot;
  item: OwnedItem;
  /** Due time, in epoch milliseconds, by which items are ordered. */
  effectiveDueAt: number;
}

const countWaitingItem = (
  waiting: Map<string, WaitingCount>,
  service: string,
  effectiveDueAt: number,
): void => {
  const key = `${service}|${effectiveDueAt}`;
  const [, , items] = waiting.get(key) ?? [service, effectiveDueAt, 0];
  waiting.set(key, [service, effectiveDueAt, items + 1]);
};

export class ItemScheduler {
  private readonly workerBackoff = new WorkerBackoff();

  private readonly runTimeEstimator = new RunTimeEstimator();

  private isStopping = false;

  constructor(private readonly options: ItemSchedulerOptions) {}

  /** Stops starting items. */
  close(): void {
    this.isStopping = true;
  }

  /**
   * Starts items on free slots, the earliest due over all VMs first, and publishes the number of
   * waiting items.
   */
  startItems(): void {
    if (this.isStopping) return;
    const now = this.options.timer.now();
    const waiting = new Map<string, WaitingCount>();
    for (const candidate of this.listCandidates(now)) {
      const route = this.findRoute(candidate);
      if (route !== undefined && !this.isExpired(candidate)) {
        const service = RouteTable.chooseService(route, this.options.random.next()) ?? '';
        const worker = this.chooseWorker(service, candidate.effectiveDueAt, now);
        if (worker !== undefined) void this.run(candidate, worker);
        else if (this.isFull(service)) countWaitingItem(waiting, service, candidate.effectiveDueAt);
      }
    }
    this.options.loads.setWaiting([...waiting.values()]);
  }

  /** Preempts running items on workers where online requests wait for a slot, those due last first. */
  preemptItems(): void {
    const { loads, self, log, listOwnedJobs } = this.options;
    const running = listOwnedJobs().flatMap((ownedJob) =>
      ownedJob.listRunning().map(({ run }) => ({ run, ownedJob })),
    );
    const workerIds = new Set(running.map(({ run }) => run.worker.id));
    for (const workerId of workerIds) {
      const runs = running.filter(({ run }) => run.worker.id === workerId);
      const load = loads.get(workerId);
      const count = countItemsToPreempt(load, loads.listBatch(workerId), self.entryVmId);
      const latestDue = runs
        .toSorted((a, b) => b.run.effectiveDueAt - a.run.effectiveDueAt)
        .slice(0, count);
      latestDue.forEach(({ run, ownedJob }) => {
        const { online, batch } = load;
        log.write('item-preempted', { job: ownedJob.jobId, worker: workerId, online, batch });
        run.cancel();
      });
    }
  }

  private listCandidates(now: number): Candidate[] {
    const { table, listOwnedJobs, timer } = this.options;
    const wallClock = timer.wallClock();
    const all: Candidate[] = [];
    for (const ownedJob of listOwnedJobs()) {
      const snapshot = table.find(ownedJob.jobId);
      if (snapshot === undefined) continue;
      ownedJob.listWaiting(now).forEach((item) => {
        const remainingMs = this.runTimeEstimator.remainingMs(item.progress.events.length);
        const effectiveDueAt = computeEffectiveDueAt(ownedJob.dueAt, wallClock, remainingMs);
        all.push({ ownedJob, snapshot, item, effectiveDueAt });
      });
    }
    return all.toSorted((a, b) => a.effectiveDueAt - b.effectiveDueAt);
  }

  /**
   * True if no worker of the service has a slot for a batch item. Ignores the backoffs of this VM: items
   * that wait only because of them are not published, so that other VMs do not leave slots to them.
   */
  private isFull(service: string): boolean {
    return rankWorkersForBatch(this.listWorkers(service)).length === 0;
  }

  private findRoute({ snapshot, ownedJob, item }: Candidate): Route | undefined {
    const routes = this.options.readTable();
    const route = routes?.match(snapshot.job.host, snapshot.job.target);
    if (routes !== undefined && route === undefined) {
      this.giveUp(ownedJob, item, 'no route matches its job');
    }
    return route;
  }

  private isExpired({ snapshot, ownedJob, item }: Candidate): boolean {
    const { submittedAt, itemLifetimeMs } = snapshot.job;
    if (this.options.timer.wallClock() < submittedAt + itemLifetimeMs) return false;
    this.giveUp(ownedJob, item, 'its lifetime has expired');
    return true;
  }

  private giveUp(ownedJob: OwnedJob, item: OwnedItem, reason: string): void {
    this.options.log.write('item-given-up', { job: ownedJob.jobId, item: item.index, reason });
    ownedJob.results.add({ itemIndex: item.index, state: ItemState.GivenUp, output: '' });
  }

  /** Returns the worker with the most free slots; among equals, one in the zone of this VM. */
  private chooseWorker(service: string, effectiveDueAt: number, now: number): Worker | undefined {
    const waitingBefore = this.options.loads.countWaitingBefore(service, effectiveDueAt);
    const usable = this.listWorkers(service).filter(
      ({ worker }) => !this.workerBackoff.isBackedOff(worker.id, now),
    );
    return rankWorkersForBatch(usable, waitingBefore)[0]?.worker;
  }

  /**
   * Lists the workers of a service, local ones first. Ranking is a stable sort, so this order breaks
   * ties.
   */
  private listWorkers(service: string): { worker: Worker; load: WorkerLoad }[] {
    const { directory, loads, availabilityZone } = this.options;
    const isLocal = (worker: Worker): boolean => worker.availabilityZone === availabilityZone;
    return directory
      .workersOf(service)
      .toSorted((a, b) => Number(isLocal(b)) - Number(isLocal(a)))
      .map((worker) => ({ worker, load: loads.get(worker.id) }));
  }

  private async run(candidate: Candidate, worker: Worker): Promise<void> {
    const { snapshot, item, effectiveDueAt } = candidate;
    const { timer, backends, loads } = this.options;
    const { job } = snapshot;
    const run = new ItemRun({
      timer,
      backends,
      worker,
      job,
      item: job.items[item.index]!,
      progress: item.progress,
      effectiveDueAt,
      remainingMs: job.submittedAt + job.itemLifetimeMs - timer.wallClock(),
    });
    // OwnedJob.listRunning finds runs through their items.
    Object.assign(item, { run });
    loads.beginBatch(worker.id, effectiveDueAt);
    const result = await run.run();
    loads.endBatch(worker.id, effectiveDueAt);
    Object.assign(item, { run: undefined });
    this.handleResult(candidate, worker, result);
  }

  private handleResult(candidate: Candidate, worker: Worker, result: RunResult): void {
    const { ownedJob, item } = candidate;
    const { outcome } = result;
    const now = this.options.timer.now();
    this.logRun(candidate, worker, result);
    this.recordRun(worker.id, result, now);
    if (outcome === RunOutcome.Completed) {
      this.runTimeEstimator.recordItem(item.progress.events.length);
      const output = item.progress.events.join('\n');
      ownedJob.results.add({ itemIndex: item.index, state: ItemState.Completed, output });
    } else if (outcome === RunOutcome.Impossible) {
      this.giveUp(ownedJob, item, 'the worker rejected it permanently');
    } else if (outcome === RunOutcome.Failed) {
      this.countFailure(candidate, now);
    }
    this.startItems();
  }

  private logRun(
    { ownedJob, snapshot, item }: Candidate,
    worker: Worker,
    { outcome, fault, firstEventMs }: RunResult,
  ): void {
    const { log, metrics } = this.options;
    log.write('item-run', {
      job: ownedJob.jobId,
      item: snapshot.job.items[item.index]?.id,
      worker: worker.id,
      outcome,
      events: item.progress.events.length,
      firstMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
      failures: item.progress.failures,
      code: fault?.code,
      message: fault?.message,
    });
    metrics.increment('batch.runs', { outcome });
  }

  private recordRun(
    workerId: string,
    { outcome, events, durationMs }: RunResult,
    now: number,
  ): void {
    this.runTimeEstimator.recordRun(events, durationMs);
    if (outcome === RunOutcome.Completed) this.workerBackoff.recordSuccess(workerId);
    else if (outcome === RunOutcome.Refused) this.workerBackoff.recordRefusal(workerId, now);
    else if (outcome === RunOutcome.Interrupted) this.workerBackoff.recordLoss(workerId, now);
  }

  private countFailure({ ownedJob, snapshot, item }: Candidate, now: number): void {
    const { progress } = item;
    progress.failures += 1;
    if (progress.failures >= snapshot.job.maxAttempts) {
      this.giveUp(ownedJob, item, 'it failed in every run');
    }
    Object.assign(item, { notBefore: now + RETRY_DELAY_MS });
  }
}
