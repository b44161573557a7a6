/** Accepts a job: writes its items to segments, then the job record, and then acknowledges it. */
import { createHash, type Hash } from 'node:crypto';
import { FaultCode, Outcome, getErrorMessage, type Fault, type Reply } from '@jujubelanding/errors';
import type {
  EntryVmIo,
  JobSubmission,
  SegmentStore,
  SubmittedJob,
} from '@jujubelanding/interfaces';
import { MAX_VALUE_BYTES, WriteStatus } from '@jujubelanding/platform';
import { JobStatus, type BatchItem, type JobChunk, type JobRecord } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { ChunkBuilder, type BuiltChunk } from './chunk-builder.js';
import { encodeJob } from './codec.js';
import { createNotRunFault } from './faults.js';
import type { JobRecords } from './job-records.js';
import { createJobId, createTeamKey } from './keys.js';

/** Half the grace period of one hour after which segments without a job record are removed. */
const ACCEPTANCE_TIMEOUT_MS = 30 * 60 * 1000;

export interface AcceptanceOptions {
  io: Pick<EntryVmIo, 'timer'>;
  segments: SegmentStore;
  records: JobRecords;
}

interface JobContent {
  digest: string;
  itemCount: number;
  chunks: JobChunk[];
}

const updateDigest = (hash: Hash, item: BatchItem): void => {
  const messages = item.messages.map(({ role, content }) => [role, content]);
  hash.update(`${JSON.stringify([item.itemId, messages, item.maxTokens])}\n`);
};

/** Uses the name of the job class, because its model may change between a submission and its resend. */
const createDigest = ({ jobClass, model, adapter }: JobSubmission): Hash => {
  const target = jobClass === undefined ? { model, adapter } : { jobClass };
  return createHash('sha256').update(`${JSON.stringify(target)}\n`);
};

export class Acceptance {
  constructor(private readonly options: AcceptanceOptions) {}

  async submit(submission: JobSubmission): Reply<SubmittedJob> {
    const jobId = createJobId(submission.team, submission.idempotencyKey);
    const existing = await this.options.records.read(jobId);
    if (existing.isErr()) return err({ ...existing.error, outcome: Outcome.NotRun });
    const content = await this.readContent(submission, existing.value === undefined);
    if (content.isErr()) return err(content.error);
    if (existing.value !== undefined) {
      return this.resolveResubmission(existing.value.record, content.value.digest);
    }
    const record = this.createRecord(submission, jobId, content.value);
    return this.writeRecord(record);
  }

  /** Reads all items. Stores their chunks unless only the digest is needed. */
  private async readContent(submission: JobSubmission, shouldStore: boolean): Reply<JobContent> {
    const hash = createDigest(submission);
    const builder = new ChunkBuilder();
    const chunks: JobChunk[] = [];
    const startedAt = this.options.io.timer.now();
    try {
      for await (const item of submission.items) {
        updateDigest(hash, item);
        const chunk = builder.add(item);
        const withinLimits = this.checkLimits(submission, builder.itemCount, startedAt);
        if (withinLimits.isErr()) return err(withinLimits.error);
        if (chunk === undefined || !shouldStore) continue;
        const stored = await this.storeChunk(chunk, chunks);
        if (stored.isErr()) return err(stored.error);
      }
    } catch (thrown) {
      return createNotRunFault(FaultCode.InvalidInput, 'batch-items', getErrorMessage(thrown));
    }
    const last = builder.finish();
    if (last !== undefined && shouldStore) {
      const stored = await this.storeChunk(last, chunks);
      if (stored.isErr()) return err(stored.error);
    }
    if (builder.itemCount === 0) {
      return createNotRunFault(FaultCode.InvalidInput, 'batch-items', 'the job has no items');
    }
    return ok({ digest: hash.digest('hex'), itemCount: builder.itemCount, chunks });
  }

  private checkLimits(
    submission: JobSubmission,
    itemCount: number,
    startedAt: number,
  ): Result<void, Fault> {
    if (itemCount > submission.maxItems) {
      const message = `the job has more than ${submission.maxItems} items`;
      return createNotRunFault(FaultCode.TooLarge, 'batch-items', message);
    }
    if (this.options.io.timer.now() - startedAt > ACCEPTANCE_TIMEOUT_MS) {
      return createNotRunFault(
        FaultCode.Timeout,
        'batch-items',
        'the items were not received within the time limit',
      );
    }
    return ok(undefined);
  }

  private async storeChunk(chunk: BuiltChunk, chunks: JobChunk[]): Reply<void> {
    const { firstItem, itemCount, content } = chunk;
    const input = await this.options.segments.write(content);
    // Without a job record no item runs, even if the segment was written.
    if (input.isErr()) return err({ ...input.error, outcome: Outcome.NotRun });
    chunks.push({
      index: chunks.length,
      firstItem,
      itemCount,
      input: input.value,
      failedItems: 0,
    });
    return ok(undefined);
  }

  private createRecord(submission: JobSubmission, id: string, content: JobContent): JobRecord {
    const { team, idempotencyKey, model, adapter, jobClass, maxAttempts, dueAt } = submission;
    return {
      id,
      team,
      idempotencyKey,
      model,
      ...(adapter === undefined ? {} : { adapter }),
      ...(jobClass === undefined ? {} : { jobClass }),
      maxAttempts,
      ...content,
      status: JobStatus.Open,
      createdAt: this.options.io.timer.wallClock(),
      dueAt,
      fence: 0,
    };
  }

  private async writeRecord(record: JobRecord): Reply<SubmittedJob> {
    // The references to the results take about as much space as those to the inputs.
    if (2 * Buffer.byteLength(encodeJob(record)) > MAX_VALUE_BYTES) {
      return createNotRunFault(
        FaultCode.TooLarge,
        'batch-items',
        'the chunk table exceeds the maximum size of a job record',
      );
    }
    const { records } = this.options;
    // The index entry is written first, because lists skip entries without a job record.
    const indexKey = createTeamKey(record.team, record.id);
    const indexed = await records.writeValue(indexKey, String(record.createdAt), 0);
    if (indexed.isErr()) return err({ ...indexed.error, outcome: Outcome.NotRun });
    const written = await records.write(record, 0);
    if (written.isErr()) return err(written.error);
    if (written.value.status === WriteStatus.Written) return ok({ job: record, resent: false });
    if (written.value.current === undefined) {
      return createNotRunFault(
        FaultCode.Conflict,
        'job-record',
        'the job was removed concurrently',
      );
    }
    return this.resolveResubmission(written.value.current.record, record.digest);
  }

  private resolveResubmission(job: JobRecord, digest: string): Result<SubmittedJob, Fault> {
    if (job.digest === digest) return ok({ job, resent: true });
    const message = 'a different job was submitted with this idempotency key';
    return createNotRunFault(FaultCode.KeyReused, 'job-record', message);
  }
}
