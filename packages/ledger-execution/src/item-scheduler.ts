/** Starts the items of owned jobs on free slots and gives slots up to online requests. */
import {
  ItemState,
  type JobTable,
  type KnownJob,
  type Ownership,
} from '@jujubelanding/batch-ledger';
import type { FleetLoad } from '@jujubelanding/fleet-load';
import type { Directory } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { ForwardingBackends } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import { RouteTable, type Route } from '@jujubelanding/route-table';
import type { Timer } from '@jujubelanding/timer';
import type { Worker } from '@jujubelanding/types';
import { countToYield, rankForBatch } from './capacity-share.js';
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
  backends: ForwardingBackends;
  readTable: () => RouteTable | undefined;
  self: Ownership;
  availabilityZone: string;
  listOwned: () => OwnedJob[];
}

interface Candidate {
  owned: OwnedJob;
  known: KnownJob;
  item: OwnedItem;
}

export class ItemScheduler {
  private readonly avoidance = new WorkerAvoidance();

  private isStopping = false;

  constructor(private readonly options: ItemSchedulerOptions) {}

  /** Starts no further items. */
  close(): void {
    this.isStopping = true;
  }

  /** Starts items on free slots, the earliest due first. */
  startItems(): void {
    if (this.isStopping) return;
    const now = this.options.timer.now();
    for (const candidate of this.listCandidates(now)) {
      const route = this.findRoute(candidate);
      if (route !== undefined && !this.isExpired(candidate)) {
        const worker = this.chooseWorker(route, now);
        if (worker !== undefined) void this.run(candidate, worker);
      }
    }
  }

  /** Gives up running items where online requests wait for a slot. */
  yieldCapacity(): void {
    const { loads, self, log, listOwned } = this.options;
    const running = listOwned().flatMap((owned) =>
      owned.listRunning().map(({ run }) => ({ dueAt: owned.dueAt, run, owned })),
    );
    const workerIds = new Set(running.map(({ run }) => run.worker.id));
    for (const workerId of workerIds) {
      const runs = running.filter(({ run }) => run.worker.id === workerId);
      const load = loads.get(workerId);
      const count = countToYield(load, loads.listBatch(workerId), self.entryVmId);
      const latestDue = runs.toSorted((a, b) => b.dueAt - a.dueAt).slice(0, count);
      latestDue.forEach(({ run, owned }) => {
        const { online, batch } = load;
        log.write('item-preempted', { job: owned.jobId, worker: workerId, online, batch });
        run.cancel();
      });
    }
  }

  private listCandidates(now: number): Candidate[] {
    const { table, listOwned } = this.options;
    const all: Candidate[] = [];
    for (const owned of listOwned()) {
      const known = table.find(owned.jobId);
      if (known === undefined) continue;
      owned.listWaiting(now).forEach((item) => all.push({ owned, known, item }));
    }
    return all.toSorted((a, b) => a.owned.dueAt - b.owned.dueAt);
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
  private chooseWorker(route: Route, now: number): Worker | undefined {
    const { directory, loads, random, availabilityZone } = this.options;
    const service = RouteTable.chooseService(route, random.next()) ?? '';
    const isLocal = (worker: Worker): boolean => worker.availabilityZone === availabilityZone;
    const workers = directory
      .workersOf(service)
      .filter(({ id }) => !this.avoidance.isAvoided(id, now))
      // The sort below is stable, so that of equally free workers one of the own zone comes first.
      .toSorted((a, b) => Number(isLocal(b)) - Number(isLocal(a)))
      .map((worker) => ({ worker, load: loads.get(worker.id) }));
    return rankForBatch(workers)[0]?.worker;
  }

  private async run({ owned, known, item }: Candidate, worker: Worker): Promise<void> {
    const { timer, backends, loads } = this.options;
    const { job } = known;
    const run = new ItemRun({
      timer,
      backends,
      worker,
      job,
      item: job.items[item.index]!,
      progress: item.progress,
      remainingMs: job.submittedAt + job.itemLifetimeMs - timer.wallClock(),
    });
    // Runs are listed through the item.
    Object.assign(item, { run });
    loads.beginBatch(worker.id);
    const result = await run.run();
    loads.endBatch(worker.id);
    Object.assign(item, { run: undefined });
    this.settle({ owned, known, item }, worker, result);
  }

  private settle(candidate: Candidate, worker: Worker, result: RunResult): void {
    const { owned, item } = candidate;
    const { outcome } = result;
    const now = this.options.timer.now();
    this.logRun(candidate, worker, result);
    this.learn(worker.id, outcome, now);
    if (outcome === RunOutcome.Completed) {
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

  private learn(workerId: string, outcome: RunOutcome, now: number): void {
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
