/** Owns jobs, runs their items and lists the results. */
import {
  isFinished,
  ItemState,
  type JobStore,
  type JobTable,
  type KnownJob,
  type ResultReader,
  type Ownership,
} from '@jujubelanding/batch-ledger';
import type { FleetLoad } from '@jujubelanding/fleet-load';
import type { Directory } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { ForwardingBackends } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import { RouteTable, type Route } from '@jujubelanding/route-table';
import type { Subscription, Timer } from '@jujubelanding/timer';
import type { Worker } from '@jujubelanding/types';
import { countToYield, rankForBatch } from './capacity-share.js';
import { ItemRun, RunOutcome, type RunResult } from './item-run.js';
import { OwnedJob, type OwnedItem } from './owned-job.js';
import { ResultQueue } from './result-queue.js';
import { mayTake } from './takeover.js';
import { WorkerAvoidance } from './worker-avoidance.js';

/** Items are started and jobs taken at least this often. */
const TICK_MS = 100;

/** Pause of an item whose run failed. */
const FAILED_PAUSE_MS = 250;

export interface JobExecutionOptions {
  timer: Timer;
  random: Random;
  log: Log;
  metrics: Metrics;
  table: JobTable;
  jobs: JobStore;
  reader: ResultReader;
  loads: FleetLoad;
  directory: Pick<Directory, 'workersOf' | 'find'>;
  backends: ForwardingBackends;
  readTable: () => RouteTable | undefined;
  self: Ownership;
  availabilityZone: string;
}

interface Candidate {
  owned: OwnedJob;
  known: KnownJob;
  item: OwnedItem;
}

export class JobExecution {
  private readonly owned = new Map<string, OwnedJob>();

  /** Jobs that are being taken, or whose progress is being read. */
  private readonly opening = new Set<string>();

  /** Time since which a job has had no owner. */
  private readonly orphans = new Map<string, number>();

  private readonly avoidance = new WorkerAvoidance();

  private readonly subscriptions: Subscription[] = [];

  private isStopping = false;

  constructor(private readonly options: JobExecutionOptions) {}

  start(): void {
    const { timer, table, loads } = this.options;
    this.subscriptions.push(
      timer.every(TICK_MS, () => this.tick()),
      table.onChange((jobId) => this.review(jobId)),
      loads.onChange(() => this.yieldCapacity()),
    );
  }

  /** Ends all work without a handover. */
  close(): void {
    this.isStopping = true;
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.owned.forEach((owned) => owned.cancelRuns());
  }

  /** Hands all jobs over, with what has arrived of their items. */
  async stop(): Promise<void> {
    this.close();
    const { table, jobs, log } = this.options;
    await Promise.all(
      [...this.owned.values()].map(async (owned) => {
        const known = table.find(owned.jobId);
        if (known === undefined || known.ownerRevision === 0) return;
        const released = await jobs.release(known, owned.collectProgress());
        log.write('job-released', {
          job: owned.jobId,
          items: owned.items.size,
          released: released.isOk() && released.value,
        });
      }),
    );
  }

  private tick(): void {
    this.options.table.list().forEach(({ job }) => this.review(job.id));
    this.yieldCapacity();
    this.startItems();
  }

  /** Brings the work on a job in line with its record. */
  private review(jobId: string): void {
    const known = this.options.table.find(jobId);
    const owned = this.owned.get(jobId);
    if (known === undefined || isFinished(known.job, known.ledger)) {
      this.drop(jobId, 'finished');
      return;
    }
    owned?.update(known);
    const { owner } = known;
    if (owner === undefined) {
      this.considerTaking(known, owned !== undefined);
    } else if (owner.bootId === this.options.self.bootId) {
      this.orphans.delete(jobId);
      if (owned === undefined && !this.opening.has(jobId)) void this.open(known, false);
    } else if (owner.entryVmId === this.options.self.entryVmId) {
      // An earlier run of this VM cannot work on it any more.
      if (!this.opening.has(jobId)) void this.take(known);
    } else {
      this.orphans.delete(jobId);
      this.drop(jobId, 'taken by another VM');
    }
  }

  private considerTaking(known: KnownJob, isHeld: boolean): void {
    const { timer, self, loads } = this.options;
    const jobId = known.job.id;
    const now = timer.now();
    const since = this.orphans.get(jobId) ?? now;
    this.orphans.set(jobId, since);
    if (this.opening.has(jobId) || this.isStopping) return;
    const orphan = { jobId, isHeld, orphanedMs: now - since };
    if (mayTake(orphan, self.entryVmId, loads.listServing())) void this.take(known);
  }

  private async take(known: KnownJob): Promise<void> {
    const jobId = known.job.id;
    const { jobs, log } = this.options;
    this.opening.add(jobId);
    const taken = await jobs.take(known);
    this.opening.delete(jobId);
    if (taken.isErr() || !taken.value) {
      log.write('job-not-taken', { job: jobId, code: taken.isErr() ? taken.error.code : 'taken' });
      return;
    }
    log.write('job-taken', { job: jobId, held: this.owned.has(jobId) });
    if (!this.owned.has(jobId)) await this.open(known, true);
  }

  /** Begins the work on a job; one that was taken over may have progress of its former owner. */
  private async open(known: KnownJob, isTakenOver: boolean): Promise<void> {
    const { jobs, table, reader, timer, log } = this.options;
    const { job } = known;
    this.opening.add(job.id);
    const read = isTakenOver ? await jobs.readProgress(job.id) : undefined;
    const progress = read?.isOk() ? read.value : {};
    if (read?.isErr()) log.write('progress-not-read', { job: job.id, code: read.error.code });
    this.opening.delete(job.id);
    const current = table.find(job.id);
    if (current === undefined || this.isStopping || this.owned.has(job.id)) return;
    const results = new ResultQueue({ jobs, table, reader, timer, log, jobId: job.id });
    const dueAt = job.submittedAt + job.dueMs;
    this.owned.set(job.id, new OwnedJob(job.id, dueAt, results, current, progress));
    this.startItems();
  }

  private drop(jobId: string, reason: string): void {
    const owned = this.owned.get(jobId);
    this.orphans.delete(jobId);
    if (owned === undefined) return;
    owned.cancelRuns();
    this.owned.delete(jobId);
    this.options.log.write('job-dropped', { job: jobId, reason });
  }

  /** Starts items on free slots, the earliest due first. */
  private startItems(): void {
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

  private listCandidates(now: number): Candidate[] {
    const { table } = this.options;
    const all: Candidate[] = [];
    for (const owned of this.owned.values()) {
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
    const remainingMs = job.submittedAt + job.itemLifetimeMs - timer.wallClock();
    const itemRecord = job.items[item.index]!;
    const run = new ItemRun({
      timer,
      backends,
      worker,
      job,
      item: itemRecord,
      progress: item.progress,
      remainingMs,
    });
    item.run = run;
    loads.beginBatch(worker.id);
    const result = await run.run();
    loads.endBatch(worker.id);
    item.run = undefined;
    this.settle(owned, known, item, worker, result);
  }

  private settle(
    owned: OwnedJob,
    known: KnownJob,
    item: OwnedItem,
    worker: Worker,
    { outcome, fault, firstEventMs }: RunResult,
  ): void {
    const { timer, log, metrics } = this.options;
    const now = timer.now();
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
    this.learn(worker.id, outcome, now);
    if (outcome === RunOutcome.Completed) {
      const output = item.progress.events.join('\n');
      owned.results.add({ itemIndex: item.index, state: ItemState.Completed, output });
    } else if (outcome === RunOutcome.Impossible) {
      this.giveUp(owned, item, 'it can never be done');
    } else if (outcome === RunOutcome.Failed) {
      this.countFailure(owned, known, item, now);
    }
    if (!this.isStopping) this.startItems();
  }

  private learn(workerId: string, outcome: RunOutcome, now: number): void {
    if (outcome === RunOutcome.Completed) this.avoidance.recordSuccess(workerId);
    else if (outcome === RunOutcome.Refused) this.avoidance.recordRefusal(workerId, now);
    else if (outcome === RunOutcome.Interrupted) this.avoidance.recordLoss(workerId, now);
  }

  private countFailure(owned: OwnedJob, { job }: KnownJob, item: OwnedItem, now: number): void {
    const { progress } = item;
    progress.failures += 1;
    if (progress.failures >= job.maxAttempts) this.giveUp(owned, item, 'it failed at each run');
    item.notBefore = now + FAILED_PAUSE_MS;
  }

  /** Gives up running items where online requests wait for a slot. */
  private yieldCapacity(): void {
    const { loads, self, log } = this.options;
    const running = [...this.owned.values()].flatMap((owned) =>
      owned.listRunning().map((item) => ({ dueAt: owned.dueAt, run: item.run, owned })),
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
}
