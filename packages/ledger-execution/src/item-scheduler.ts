/** Starts the items of owned jobs on free slots and gives slots up to online requests. */
import {
  ItemState,
  type JobTable,
  type KnownJob,
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
import { countToYield, rankForBatch } from './capacity-share.js';
import { orderByDue, RunEstimate } from './item-order.js';
import { ItemRun, RunOutcome, type RunResult } from './item-run.js';
import type { OwnedItem, OwnedJob } from './owned-job.js';
import { WorkerAvoidance } from './worker-avoidance.js';

/** Pause of an item whose run failed. */
const FAILED_PAUSE_MS = 250;

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
  known: KnownJob;
  item: OwnedItem;
  /** Epoch milliseconds by which items are ordered. */
  orderedBy: number;
}

const addWaiting = (
  waiting: Map<string, WaitingCount>,
  service: string,
  orderedBy: number,
): void => {
  const key = `${service}|${orderedBy}`;
  const [, , items] = waiting.get(key) ?? [service, orderedBy, 0];
  waiting.set(key, [service, orderedBy, items + 1]);
};

export class ItemScheduler {
  private readonly avoidance = new WorkerAvoidance();

  private readonly estimate = new RunEstimate();

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
        const worker = this.chooseWorker(service, candidate.orderedBy, now);
        if (worker !== undefined) void this.run(candidate, worker);
        else if (this.isFull(service)) addWaiting(waiting, service, candidate.orderedBy);
      }
    }
    this.options.loads.setWaiting([...waiting.values()]);
  }

  /** Gives up running items where online requests wait for a slot, the ones due last first. */
  yieldCapacity(): void {
    const { loads, self, log, listOwned } = this.options;
    const running = listOwned().flatMap((owned) =>
      owned.listRunning().map(({ run }) => ({ run, owned })),
    );
    const workerIds = new Set(running.map(({ run }) => run.worker.id));
    for (const workerId of workerIds) {
      const runs = running.filter(({ run }) => run.worker.id === workerId);
      const load = loads.get(workerId);
      const count = countToYield(load, loads.listBatch(workerId), self.entryVmId);
      const latestDue = runs.toSorted((a, b) => b.run.orderedBy - a.run.orderedBy).slice(0, count);
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
        const remainingMs = this.estimate.remainingMs(item.progress.events.length);
        const orderedBy = orderByDue(owned.dueAt, wallClock, remainingMs);
        all.push({ owned, known, item, orderedBy });
      });
    }
    return all.toSorted((a, b) => a.orderedBy - b.orderedBy);
  }

  /** Free slots that only this VM avoids are not kept from the others. */
  private isFull(service: string): boolean {
    return rankForBatch(this.listWorkers(service)).length === 0;
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
      ({ worker }) => !this.avoidance.isAvoided(worker.id, now),
    );
    return rankForBatch(usable, waitingBefore)[0]?.worker;
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
    const { known, item, orderedBy } = candidate;
    const { timer, backends, loads } = this.options;
    const { job } = known;
    const run = new ItemRun({
      timer,
      backends,
      worker,
      job,
      item: job.items[item.index]!,
      progress: item.progress,
      orderedBy,
      remainingMs: job.submittedAt + job.itemLifetimeMs - timer.wallClock(),
    });
    // Runs are listed through the item.
    Object.assign(item, { run });
    loads.beginBatch(worker.id, orderedBy);
    const result = await run.run();
    loads.endBatch(worker.id, orderedBy);
    Object.assign(item, { run: undefined });
    this.settle(candidate, worker, result);
  }

  private settle(candidate: Candidate, worker: Worker, result: RunResult): void {
    const { owned, item } = candidate;
    const { outcome } = result;
    const now = this.options.timer.now();
    this.logRun(candidate, worker, result);
    this.learn(worker.id, result, now);
    if (outcome === RunOutcome.Completed) {
      this.estimate.recordItem(item.progress.events.length);
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

  private learn(workerId: string, { outcome, events, durationMs }: RunResult, now: number): void {
    this.estimate.recordRun(events, durationMs);
    if (outcome === RunOutcome.Completed) this.avoidance.recordSuccess(workerId);
    else if (outcome === RunOutcome.Refused) this.avoidance.recordRefusal(workerId, now);
    else if (outcome === RunOutcome.Interrupted) this.avoidance.recordLoss(workerId, now);
  }

  private countFailure({ owned, known, item }: Candidate, now: number): void {
    const { progress } = item;
    progress.failures += 1;
    if (progress.failures >= known.job.maxAttempts) {
      this.giveUp(owned, item, 'it failed at each run');
    }
    Object.assign(item, { notBefore: now + FAILED_PAUSE_MS });
  }
}
