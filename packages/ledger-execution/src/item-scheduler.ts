/** Publishes the items of owned jobs that wait, and starts and preempts items as the planner decides. */
import { ItemState, type JobTable, type JobSnapshot } from '@jujubelanding/batch-ledger';
import { FaultCode } from '@jujubelanding/errors';
import type { FleetLoad, Plan, WaitingCount } from '@jujubelanding/fleet-load';
import type { Directory } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { HeaderFields, RequestForwarder } from '@jujubelanding/platform';
import type { PromptQuarantine } from '@jujubelanding/prompt-quarantine';
import { hashText } from '@jujubelanding/random';
import { RouteTable } from '@jujubelanding/route-table';
import type { Timer } from '@jujubelanding/timer';
import { VmState, type Worker } from '@jujubelanding/types';
import { computeEffectiveDueAt, postpone, RunTimeEstimator } from './item-order.js';
import { ItemRun, RunOutcome, type RunResult } from './item-run.js';
import { JobRoutes, MissingRoute } from './job-routes.js';
import type { OwnedItem, OwnedJob } from './owned-job.js';
import { RunRecorder, type WorkerResults } from './run-recorder.js';
import { WorkerBackoff } from './worker-backoff.js';

/** Delay before an item is run again after a failed run. */
const RETRY_DELAY_MS = 250;

/** Outcomes that every further run of the item would have. */
const GIVE_UP_REASONS: Partial<Record<RunOutcome, string>> = {
  [RunOutcome.Impossible]: 'the worker rejected it permanently',
  [RunOutcome.Unsendable]: 'HTTP cannot carry its request',
};

export interface ItemSchedulerOptions {
  timer: Timer;
  log: Log;
  metrics: Metrics;
  table: JobTable;
  loads: FleetLoad;
  quarantine: Pick<
    PromptQuarantine,
    | 'hasBlocks'
    | 'isBlocked'
    | 'listProbed'
    | 'recordAnswer'
    | 'recordData'
    | 'recordLoss'
    | 'takeProbe'
  >;
  /** Reads the parts of an item's prompt from the headers of its request. */
  readPromptParts: (headers: HeaderFields) => string[];
  directory: Pick<Directory, 'all' | 'find'> & {
    /** Returns the workers of which this VM knows from an answer that they are leaving. */
    listLeaving(): string[];
  };
  backends: RequestForwarder;
  readTable: () => RouteTable | undefined;
  /** True once all stored jobs are known. */
  isTableLoaded: () => boolean;
  listOwnedJobs: () => OwnedJob[];
  /** Results by which all VMs compare the workers of a service, if they do. */
  results?: WorkerResults | undefined;
}

interface Candidate {
  ownedJob: OwnedJob;
  snapshot: JobSnapshot;
  item: OwnedItem;
  service: string;
  /** Due time, in epoch milliseconds, by which items are ordered. */
  effectiveDueAt: number;
}

const UINT32_RANGE = 2 ** 32;

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
  private readonly workerBackoff: WorkerBackoff;

  private readonly runTimeEstimator = new RunTimeEstimator();

  private readonly runRecorder: RunRecorder;

  private readonly routes: JobRoutes;

  private isStopping = false;

  constructor(private readonly options: ItemSchedulerOptions) {
    this.workerBackoff = new WorkerBackoff(options.results?.listOnProbation);
    const { workerBackoff, runTimeEstimator } = this;
    this.runRecorder = new RunRecorder({ ...options, workerBackoff, runTimeEstimator });
    this.routes = new JobRoutes(options);
  }

  /** Stops starting items, and no longer asks the planner for slots. */
  close(): void {
    this.isStopping = true;
    this.options.loads.setWaiting([], []);
  }

  /**
   * Publishes the items that wait for a slot, so that the planner can grant slots to them. Until all jobs
   * are loaded, this VM does not know which of them have been ended.
   */
  publishWaiting(): void {
    if (this.isStopping || !this.options.isTableLoaded()) return;
    const now = this.options.timer.now();
    const waiting = new Map<string, WaitingCount>();
    this.listCandidates(now).forEach(({ service, effectiveDueAt }) =>
      countWaitingItem(waiting, service, effectiveDueAt),
    );
    // The planner may not know that a worker is leaving, and would grant its slots again and again.
    const avoided = new Set([
      ...this.workerBackoff.listBackedOff(now),
      ...this.options.directory.listLeaving(),
    ]);
    this.options.loads.setWaiting([...waiting.values()], [...avoided]);
  }

  /** Preempts items and starts others on the slots that this VM was granted. */
  carryOut({ starts, cuts }: Plan): void {
    const cutIds = new Set(cuts);
    for (const ownedJob of this.options.listOwnedJobs()) {
      for (const { run } of ownedJob.listRunning()) {
        if (cutIds.has(run.runId)) {
          this.options.log.write('item-preempted', { job: ownedJob.jobId, worker: run.worker.id });
          run.cancel();
        }
      }
    }
    if (starts.length > 0 && !this.isStopping) this.start(starts);
  }

  private start(starts: Plan['starts']): void {
    const now = this.options.timer.now();
    const candidates = this.listCandidates(now);
    for (const [runId, workerId, service] of starts) {
      const worker = this.options.directory.find(workerId);
      const index = candidates.findIndex(
        (candidate) => candidate.service === service && !this.isForOtherWorker(candidate, workerId),
      );
      const isUsable =
        worker?.state === VmState.Live && !this.workerBackoff.isBackedOff(workerId, now);
      if (index >= 0 && isUsable) {
        const [candidate] = candidates.splice(index, 1);
        void this.run(candidate!, worker, runId);
      }
    }
  }

  /** True if the worker did not serve the item, and another one of the service may. */
  private isForOtherWorker({ item, service }: Candidate, workerId: string): boolean {
    const isTried = (id: string): boolean =>
      item.refusals.includes(id) || item.invalidStreams.includes(id);
    if (!isTried(workerId)) return false;
    return this.listLiveWorkers().some(
      (worker) => worker.service === service && !isTried(worker.id),
    );
  }

  private listLiveWorkers(): Worker[] {
    return this.options.directory.all().filter(({ state }) => state === VmState.Live);
  }

  /** Lists the items that can be started, those due first at the front. */
  private listCandidates(now: number): Candidate[] {
    const { table, listOwnedJobs, timer } = this.options;
    const wallClock = timer.wallClock();
    const all: Candidate[] = [];
    const services = new Set(this.listLiveWorkers().map(({ service }) => service));
    const probedBlocks = new Set<string>();
    for (const ownedJob of listOwnedJobs()) {
      const snapshot = table.find(ownedJob.jobId);
      if (snapshot === undefined) continue;
      ownedJob.listWaiting(now).forEach((item) => {
        const service = this.chooseService(ownedJob, snapshot, item, services);
        if (service === undefined || this.isBlocked(ownedJob, item, probedBlocks)) return;
        const remainingMs = this.runTimeEstimator.remainingMs(item.progress.events.length);
        const wasNotServed = item.refusals.isRepeated || item.invalidStreams.isRepeated;
        const effectiveDueAt = wasNotServed
          ? postpone(ownedJob.dueAt)
          : computeEffectiveDueAt(ownedJob.dueAt, wallClock, remainingMs);
        all.push({ ownedJob, snapshot, item, service, effectiveDueAt });
      });
    }
    return all.toSorted((a, b) => a.effectiveDueAt - b.effectiveDueAt);
  }

  /** Returns the service of an item; undefined if the item cannot run, and then gives it up. */
  private chooseService(
    ownedJob: OwnedJob,
    snapshot: JobSnapshot,
    item: OwnedItem,
    services: ReadonlySet<string>,
  ): string | undefined {
    if (this.isExpired(ownedJob, snapshot, item)) return undefined;
    const route = this.routes.find(snapshot.job);
    if (route.isErr()) {
      if (route.error === MissingRoute.Removed) {
        this.giveUp(ownedJob, item, 'no route matches its job');
      }
      return undefined;
    }
    // The draw is the same until a run fails, so that a waiting item is not counted for another service each
    // time.
    const { id } = snapshot.job.items[item.index]!;
    const draw = hashText(`${id}|${item.lostRuns}`) / UINT32_RANGE;
    return RouteTable.chooseService(route.value, draw, (service) => services.has(service));
  }

  private isExpired(ownedJob: OwnedJob, { job }: JobSnapshot, item: OwnedItem): boolean {
    if (this.options.timer.wallClock() < job.submittedAt + job.itemLifetimeMs) return false;
    this.giveUp(ownedJob, item, 'its lifetime has expired');
    return true;
  }

  /**
   * A blocked item waits until the block or its lifetime ends, because it might run then. One item is the
   * probe of a block when that is due.
   */
  private isBlocked(ownedJob: OwnedJob, item: OwnedItem, probedBlocks: Set<string>): boolean {
    const { quarantine } = this.options;
    if (!quarantine.hasBlocks) return false;
    const parts = this.listParts(ownedJob, item);
    if (quarantine.isBlocked(parts)) return true;
    const blocks = quarantine.listProbed(parts);
    if (blocks.some((id) => probedBlocks.has(id))) return true;
    blocks.forEach((id) => probedBlocks.add(id));
    return false;
  }

  private listParts({ requests }: OwnedJob, { index }: OwnedItem): string[] {
    return this.options.readPromptParts(requests[index]!.headers);
  }

  private giveUp(ownedJob: OwnedJob, item: OwnedItem, reason: string): void {
    this.options.log.write('item-given-up', {
      job: ownedJob.jobId,
      item: item.index,
      reason,
      configuration: this.options.readTable()?.version,
    });
    ownedJob.results.add({ itemIndex: item.index, state: ItemState.GivenUp, output: '' });
  }

  private async run(candidate: Candidate, worker: Worker, runId: string): Promise<void> {
    const { snapshot, item, effectiveDueAt } = candidate;
    const { timer, backends, loads, quarantine } = this.options;
    const { job } = snapshot;
    const run = new ItemRun({
      runId,
      timer,
      backends,
      worker,
      job,
      item: { ...job.items[item.index]!, ...candidate.ownedJob.requests[item.index]! },
      progress: item.progress,
      remainingMs: job.submittedAt + job.itemLifetimeMs - timer.wallClock(),
      onFirstEvent: () => {
        item.refusals.reset();
        this.workerBackoff.recordStart(worker.id);
        quarantine.recordAnswer(this.listParts(candidate.ownedJob, item));
      },
      onEvent: () => quarantine.recordData(worker.id, worker.startedAt),
    });
    // OwnedJob.listRunning finds runs through their items.
    Object.assign(item, { run });
    loads.beginBatch(runId, worker.id, effectiveDueAt);
    const probe = quarantine.hasBlocks
      ? quarantine.takeProbe(this.listParts(candidate.ownedJob, item))
      : undefined;
    const result = await run.run();
    loads.endBatch(runId);
    Object.assign(item, { run: undefined });
    // Any other result leaves open whether workers crash on the parts.
    if (result.outcome !== RunOutcome.Interrupted) probe?.giveBack();
    this.handleResult(candidate, run, result);
  }

  private handleResult(candidate: Candidate, run: ItemRun, result: RunResult): void {
    const { ownedJob, snapshot, item } = candidate;
    const { worker } = run;
    const { outcome } = result;
    const now = this.options.timer.now();
    const itemId = snapshot.job.items[item.index]?.id;
    this.runRecorder.record({ jobId: ownedJob.jobId, itemId, item, worker, result });
    if (result.fault?.code === FaultCode.Interrupted && result.events === 0) {
      const parts = this.listParts(ownedJob, item);
      const { quarantine } = this.options;
      quarantine.recordLoss(worker.id, parts, undefined, worker.startedAt, run.startedAt);
    }
    if (outcome === RunOutcome.Completed) {
      this.runTimeEstimator.recordItem(item.progress.events.length);
      const output = item.progress.events.join('\n');
      ownedJob.results.add({ itemIndex: item.index, state: ItemState.Completed, output });
    } else if (outcome === RunOutcome.Failed) {
      this.countFailure(candidate, now);
    }
    const giveUpReason = GIVE_UP_REASONS[outcome];
    if (giveUpReason !== undefined) this.giveUp(ownedJob, item, giveUpReason);
    this.publishWaiting();
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
