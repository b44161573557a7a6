/** Commits the finished chunks of one job, batched into at most one write per second. */
import { FaultCode, type Fault, type Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { CompletionStatus, type ChunkCompletion } from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import { JobStatus, type JobRecord } from '@jujubelanding/types';
import { ok, type Result } from 'neverthrow';
import { mergeResults, type FinishedChunk } from './merge-results.js';
import { createNotRunFault } from './faults.js';
import type { JobRecords, StoredJob } from './job-records.js';
import { updateJob } from './update-job.js';
import type { OpenJob } from './schedule.js';

const COMMIT_INTERVAL_MS = 1000;
const MAX_RETRY_DELAY_MS = 5000;

type CompletionReply = Result<{ status: CompletionStatus }, Fault>;

/** A finished chunk to be committed, and the callbacks that resolve its completions. */
interface PendingCommit extends FinishedChunk {
  answers: ((answer: CompletionReply) => void)[];
}

export interface CommitQueueOptions {
  io: Pick<EntryVmIo, 'timer' | 'random'>;
  log: Log;
  records: JobRecords;
  job: OpenJob;
  /** Returns the fencing number of the job's shard while this VM certainly owns it. */
  getFence: () => number | undefined;
  /** Applies a record that was read or written; undefined when the job was removed. */
  applyRecord: (stored: StoredJob | undefined) => void;
}

export class CommitQueue {
  private readonly waiting = new Map<number, PendingCommit>();

  private lastWriteAt = Number.NEGATIVE_INFINITY;

  private timer: Subscription | undefined;

  private isWriting = false;

  private isClosed = false;

  private failures = 0;

  constructor(private readonly options: CommitQueueOptions) {}

  /** Resolves once the result is durable, or with a fault when this VM no longer owns the job. */
  add(completion: ChunkCompletion): Reply<{ status: CompletionStatus }> {
    const { chunk, result, failedItems } = completion;
    return new Promise((resolve) => {
      const existing = this.waiting.get(chunk);
      if (existing !== undefined) {
        existing.answers.push(resolve);
        return;
      }
      this.waiting.set(chunk, { result, failedItems, answers: [resolve] });
      this.options.job.finished.add(chunk);
      this.scheduleWrite();
    });
  }

  /** Replies to the completions whose outcome is decided by a record. */
  resolveCompletions(record: JobRecord | undefined): void {
    for (const [chunk, { answers }] of this.waiting) {
      const isCommitted = record?.chunks[chunk]?.result !== undefined;
      if (!isCommitted && record?.status === JobStatus.Open) continue;
      const status = isCommitted ? CompletionStatus.Committed : CompletionStatus.Rejected;
      this.waiting.delete(chunk);
      answers.forEach((answer) => answer(ok({ status })));
    }
  }

  /** Rejects the completions that are not durable yet; executors resend them to the next owner. */
  close(): void {
    this.isClosed = true;
    this.timer?.cancel();
    const rejection = createNotRunFault(
      FaultCode.NotOwner,
      'complete-chunk',
      'this VM no longer owns the shard',
    );
    this.waiting.forEach(({ answers }) => answers.forEach((answer) => answer(rejection)));
    this.waiting.clear();
  }

  private scheduleWrite(): void {
    if (this.isWriting || this.isClosed || this.waiting.size === 0) return;
    this.timer?.cancel();
    const { timer } = this.options.io;
    // The write that completes the job is not delayed.
    const dueIn = this.completesJob()
      ? 0
      : Math.max(0, this.lastWriteAt + COMMIT_INTERVAL_MS - timer.now());
    this.timer = timer.after(dueIn, () => {
      void this.write();
    });
  }

  private completesJob(): boolean {
    return this.options.job.record.chunks.every(
      ({ index, result }) => result !== undefined || this.waiting.has(index),
    );
  }

  private async write(): Promise<void> {
    const { io, records, job, getFence, applyRecord } = this.options;
    if (this.isWriting || this.isClosed) return;
    const fence = getFence();
    if (fence === undefined) {
      // Retried, because a late renewal may keep the same fencing number. If not, the queue is closed.
      this.scheduleRetry(
        createNotRunFault(FaultCode.StaleFence, 'commit', 'this VM has no valid lease on the shard')
          .error,
      );
      return;
    }
    this.isWriting = true;
    this.lastWriteAt = io.timer.now();
    const initial = { record: job.record, revision: job.revision };
    const written = await updateJob(
      records,
      initial,
      (record) => mergeResults(record, this.waiting, fence, io.timer.wallClock()),
      () => !this.isClosed && getFence() === fence,
    );
    this.isWriting = false;
    if (this.isClosed) return;
    if (written.isErr()) {
      this.scheduleRetry(written.error);
      return;
    }
    this.failures = 0;
    applyRecord(written.value);
    this.scheduleWrite();
  }

  private scheduleRetry(fault: Fault): void {
    const { io, log, job } = this.options;
    this.failures += 1;
    const delay = Math.min(MAX_RETRY_DELAY_MS, 250 * 2 ** this.failures) * (0.5 + io.random.next());
    const { code, message } = fault;
    log.write('commit-failed', { job: job.record.id, code, message, retryMs: Math.round(delay) });
    this.timer = io.timer.after(delay, () => {
      void this.write();
    });
  }
}
