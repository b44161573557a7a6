/** Records what the runs of items say about workers, and about the items themselves. */
import { FaultCode } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { ReportedLoad, WorkerFault } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import type { Worker } from '@jujubelanding/types';
import type { RunTimeEstimator } from './item-order.js';
import { FAILURE_BY_OUTCOME, RunOutcome, type RunResult } from './item-run.js';
import type { OwnedItem } from './owned-job.js';
import type { WorkerBackoff } from './worker-backoff.js';

/** Outcomes after which an item of a split route may go to another service. */
const LOST_OUTCOMES: ReadonlySet<RunOutcome> = new Set([
  RunOutcome.Refused,
  RunOutcome.Interrupted,
]);

export interface WorkerResults {
  record: (service: string, workerId: string, isFailure: boolean) => void;
  /** Lists the workers that are ejected or have to prove themselves. */
  listOnProbation: () => readonly string[];
}

export interface RunRecorderOptions {
  timer: Timer;
  log: Log;
  metrics: Metrics;
  /** Results by which all VMs compare the workers of a service, if they do. */
  results?: WorkerResults | undefined;
  workerBackoff: WorkerBackoff;
  runTimeEstimator: RunTimeEstimator;
}

export interface RecordedRun {
  jobId: string;
  itemId: string | undefined;
  item: OwnedItem;
  worker: Worker;
  result: RunResult;
}

const hasRoom = ({ running, waiting, slots }: ReportedLoad): boolean =>
  waiting === 0 && running < slots;

/** True if the worker refused an item although it reports free slots. */
const isRoomReported = (fault: WorkerFault | undefined): boolean =>
  fault?.load !== undefined && hasRoom(fault.load);

/** True if the refusal may be due to the item, for example to its size, and not to a full worker. */
const isItemSuspected = (fault: WorkerFault): boolean =>
  fault.isRefusal === true && (fault.load === undefined || isRoomReported(fault));

export class RunRecorder {
  constructor(private readonly options: RunRecorderOptions) {}

  record(run: RecordedRun): void {
    const { item, result } = run;
    if (LOST_OUTCOMES.has(result.outcome)) item.lostRuns += 1;
    if (result.events > 0) item.invalidStreams.reset();
    const isItemAtFault = this.isItemAtFault(run);
    this.logRun(run, isItemAtFault);
    this.options.runTimeEstimator.recordRun(result.events, result.durationMs);
    if (!isItemAtFault) this.recordWorker(run);
  }

  /**
   * Delays the next run of an item that workers refuse or answer with invalid streams. Returns true if
   * another worker did so before: the item would otherwise make one worker after the other unavailable to all
   * items.
   */
  private isItemAtFault({ worker, item, result: { outcome, fault } }: RecordedRun): boolean {
    if (fault === undefined) return false;
    const isRefused = outcome === RunOutcome.Refused && isItemSuspected(fault);
    const isInvalid = outcome === RunOutcome.Interrupted && fault.code === FaultCode.InvalidStream;
    if (!isRefused && !isInvalid) return false;
    const backoff = isRefused ? item.refusals : item.invalidStreams;
    const isAtFault = backoff.record(worker.id);
    Object.assign(item, { notBefore: this.options.timer.now() + backoff.delayMs });
    return isAtFault;
  }

  private recordWorker({ worker: { id, service }, result: { outcome, fault } }: RecordedRun): void {
    const { timer, workerBackoff, results } = this.options;
    const now = timer.now();
    if (outcome === RunOutcome.Completed) workerBackoff.recordSuccess(id);
    else if (outcome === RunOutcome.Refused) {
      workerBackoff.recordRefusal(id, now, isRoomReported(fault));
    } else if (fault?.code === FaultCode.InvalidStream) workerBackoff.recordRefusal(id, now);
    else if (outcome === RunOutcome.Interrupted) workerBackoff.recordLoss(id, now);
    const isFailure = FAILURE_BY_OUTCOME[outcome];
    // A run that ends with the lifetime of its item says nothing about the worker.
    if (isFailure === undefined || fault?.code === FaultCode.Timeout) return;
    results?.record(service, id, isFailure);
  }

  private logRun(
    { jobId, itemId, item, worker, result }: RecordedRun,
    isItemAtFault: boolean,
  ): void {
    const { log, metrics, timer } = this.options;
    const { outcome, fault, firstEventMs } = result;
    log.write('item-run', {
      job: jobId,
      item: itemId,
      worker: worker.id,
      outcome,
      events: item.progress.events.length,
      firstMs: firstEventMs === undefined ? undefined : Math.round(firstEventMs),
      failures: item.progress.failures,
      code: fault?.code,
      message: fault?.message,
      load: fault?.load && Object.values(fault.load).join(),
      atFault: isItemAtFault ? 'item' : undefined,
      waitMs: Math.round(Math.max(0, item.notBefore - timer.now())) || undefined,
    });
    metrics.increment('batch.runs', { outcome });
  }
}
