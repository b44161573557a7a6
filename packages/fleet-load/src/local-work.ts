import type { BatchRun, BatchWork, WaitingCount, WorkerCount } from './load-message.js';

/** Online requests and batch items in progress on a worker. */
export interface WorkCount {
  online: number;
  batch: number;
}

export const NO_WORK: WorkCount = { online: 0, batch: 0 };

/** Reports whose counts are kept, to correct sums that include an older one. */
const MAX_KEPT_REPORTS = 32;

/** The work that this VM has in progress. */
export class LocalWork {
  private readonly online = new Map<string, number>();

  private readonly batch = new Map<string, number>();

  private readonly runs = new Map<string, BatchRun>();

  /** Counts of the reports sent last, by sequence. */
  private readonly sentCounts = new Map<number, Map<string, WorkCount>>();

  waiting: readonly WaitingCount[] = [];

  avoided: readonly string[] = [];

  get(workerId: string): WorkCount {
    return { online: this.online.get(workerId) ?? 0, batch: this.batch.get(workerId) ?? 0 };
  }

  addOnline(workerId: string, change: number): void {
    LocalWork.add(this.online, workerId, change);
  }

  beginRun(runId: string, workerId: string, dueAt: number): void {
    this.runs.set(runId, [runId, workerId, dueAt]);
    LocalWork.add(this.batch, workerId, 1);
  }

  endRun(runId: string): void {
    const run = this.runs.get(runId);
    if (run === undefined) return;
    this.runs.delete(runId);
    LocalWork.add(this.batch, run[1], -1);
  }

  list(): WorkerCount[] {
    const workerIds = new Set([...this.online.keys(), ...this.batch.keys()]);
    return [...workerIds].map((workerId) => {
      const { online, batch } = this.get(workerId);
      return [workerId, online, batch];
    });
  }

  getBatchWork(): BatchWork {
    return {
      runs: [...this.runs.values()],
      waiting: [...this.waiting],
      avoided: [...this.avoided],
    };
  }

  /** Keeps the current counts as those of a report. */
  keepReport(sequence: number): void {
    const counts = this.list().map(([workerId, online, batch]): [string, WorkCount] => [
      workerId,
      { online, batch },
    ]);
    this.sentCounts.set(sequence, new Map(counts));
    this.sentCounts.delete(sequence - MAX_KEPT_REPORTS);
  }

  /** Returns the change since a report; none if the report is not known anymore. */
  changeSince(sequence: number | undefined, workerId: string): WorkCount {
    const current = this.get(workerId);
    if (sequence === undefined) return current;
    const counts = this.sentCounts.get(sequence);
    if (counts === undefined) return NO_WORK;
    const { online, batch } = counts.get(workerId) ?? NO_WORK;
    return { online: current.online - online, batch: current.batch - batch };
  }

  private static add(counts: Map<string, number>, workerId: string, change: number): void {
    const count = (counts.get(workerId) ?? 0) + change;
    if (count === 0) counts.delete(workerId);
    else counts.set(workerId, count);
  }
}
