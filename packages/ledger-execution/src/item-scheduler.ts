/** Starts the items of owned jobs on free slots and gives slots up to online requests. */
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

/** Pause of an item whose run failed. */
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
  listOwned: () => OwnedJob[];
}

interface Candidate {
  owned: OwnedJob;
  known: JobSnapshot;
  item: OwnedItem;
  /** Epoch milliseconds by which items are ordered. */
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

  /** Starts no further items. */
  close(): void {
    this.isStopping = true;
  }

  /** Starts items on free slots, the earliest due of all VMs first, and tells which ones wait. */
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

  /** Gives up running items where online requests wait for a slot, the ones due last first. */
  preemptItems(): void {
    const { loads, self, log, listOwned } = this.options;
    const running = listOwned().flatMap((owned) =>
      owned.listRunning().map(({ run }) => ({ run, owned })),
    );
    const workerIds = new Set(running.map(({ run }) => run.worker.id));
    for (const workerId of workerIds) {
      const runs = running.filter(({ run }) => run.worker.id === workerId);
      const load = loads.get(workerId);
      const count = countItemsToPreempt(load, loads.listBatch(workerId), self.entryVmId);
      const latestDue = runs
        .toSorted((a, b) => b.run.effectiveDueAt - a.run.effectiveDueAt)
        .slice(0, count);
      latestDue.forEach(({ run, owned }) => {
        const { online, batch } = load;
        log.write('item-preempted', { job: owned.jobId, worker: workerId, online, batch });
        run.cancel();
      });
    }
  }

  private listCandidates(now: number): Candidate[] {
    const { table, listOwned, timer } = this.options;
    const wallClock = timer.wallClock();
    const all: Candidate[] = [];
    for (const owned of listOwned()) {
      const known = table.find(owned.jobId);
      if (known === undefined) continue;
      owned.listWaiting(now).forEach((item) => {
        const remainingMs = this.runTimeEstimator.remainingMs(item.progress.events.length);
        const orderedBy = computeEffectiveDueAt(owned.dueAt, wallClock, remainingMs);
        all.push({ owned, known, item, effectiveDueAt: orderedBy });
      });
    }
    return all.toSorted((a, b) => a.effectiveDueAt - b.effectiveDueAt);
  }

  /** Free slots that only this VM avoids are not kept from the others. */
  private isFull(service: string): boolean {
    return rankWorkersForBatch(this.listWorkers(service)).length === 0;
  }

  private findRoute({ known, owned, item }: Candidate): Route | undefined {
    const routes = this.options.readTable();
    const route = routes?.match(known.job.host, known.job.target);
    if (routes !== undefined && route === undefined) this.giveUp(owned, item, 'no route');
    return route;
  }

  private isExpired({ known, owned, item }: Candidate): boolean {
    const { submittedAt, itemLifetimeMs } = known.job;
    if (this.options.timer.wallClock() < submittedAt + itemLifetimeMs) return false;
    this.giveUp(owned, item, 'its time has passed');
    return true;
  }

  private giveUp(owned: OwnedJob, item: OwnedItem, reason: string): void {
    this.options.log.write('item-given-up', { job: owned.jobId, item: item.index, reason });
    owned.results.add({ itemIndex: item.index, state: ItemState.GivenUp, output: '' });
  }

  /** The worker with the most slots that batch may use; equal ones in the own zone first. */
  private chooseWorker(service: string, orderedBy: number, now: number): Worker | undefined {
    const waitingBefore = this.options.loads.countWaitingBefore(service, orderedBy);
    const usable = this.listWorkers(service).filter(
      ({ worker }) => !this.workerBackoff.isBackedOff(worker.id, now),
    );
    return rankWorkersForBatch(usable, waitingBefore)[0]?.worker;
  }

  /** Workers of a service; the rank is stable, so that of equally free ones a local one comes first. */
  private listWorkers(service: string): { worker: Worker; load: WorkerLoad }[] {
    const { directory, loads, availabilityZone } = this.options;
    const isLocal = (worker: Worker): boolean => worker.availabilityZone === availabilityZone;
    return directory
      .workersOf(service)
      .toSorted((a, b) => Number(isLocal(b)) - Number(isLocal(a)))
      .map((worker) => ({ worker, load: loads.get(worker.id) }));
  }

  private async run(candidate: Candidate, worker: Worker): Promise<void> {
    const { known, item, effectiveDueAt: orderedBy } = candidate;
    const { timer, backends, loads } = this.options;
    const { job } = known;
    const run = new ItemRun({
      timer,
      backends,
      worker,
      job,
      item: job.items[item.index]!,
      progress: item.progress,
      effectiveDueAt: orderedBy,
      remainingMs: job.submittedAt + job.itemLifetimeMs - timer.wallClock(),
    });
    // Runs are listed through the item.
    Object.assign(item, { run });
    loads.beginBatch(worker.id, orderedBy);
    const result = await run.run();
    loads.endBatch(worker.id, orderedBy);
    Object.assign(item, { run: undefined });
    this.handleResult(candidate, worker, result);
  }

  private handleResult(candidate: Candidate, worker: Worker, result: RunResult): void {
    const { owned, item } = candidate;
    const { outcome } = result;
    const now = this.options.timer.now();
    this.logRun(candidate, worker, result);
    this.recordRun(worker.id, result, now);
    if (outcome === RunOutcome.Completed) {
      this.runTimeEstimator.recordItem(item.progress.events.length);
      const output = item.progress.events.join('\n');
      owned.results.add({ itemIndex: item.index, state: ItemState.Completed, output });
    } else if (outcome === RunOutcome.Impossible) {
      this.giveUp(owned, item, 'it can never be done');
    } else if (outcome === RunOutcome.Failed) {
      this.countFailure(candidate, now);
    }
    this.startItems();
  }

  private logRun(
    { owned, known, item }: Candidate,
    worker: Worker,
    { outcome, fault, firstEventMs }: RunResult,
  ): void {
    const { log, metrics } = this.options;
    log.write('item-run', {
      job: owned.jobId,
      item: known.job.items[item.index]?.id,
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

  private countFailure({ owned, known, item }: Candidate, now: number): void {
    const { progress } = item;
    progress.failures += 1;
    if (progress.failures >= known.job.maxAttempts) {
      this.giveUp(owned, item, 'it failed at each run');
    }
    Object.assign(item, { notBefore: now + RETRY_DELAY_MS });
  }
}
