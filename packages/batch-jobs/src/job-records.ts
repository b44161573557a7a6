/** Reads and compare-and-swap writes of job records. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import { WriteStatus, type KeyValueEntry } from '@jujubelanding/platform';
import type { JobRecord } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { decodeJob, encodeJob } from './codec.js';
import { createNotRunFault, createOutcomeUnknownFault } from './faults.js';
import { createJobKey } from './keys.js';

/** A job record with the revision at which it was read or written. */
export interface StoredJob {
  record: JobRecord;
  revision: number;
}

export type JobWriteResult =
  | { status: WriteStatus.Written; job: StoredJob }
  | { status: WriteStatus.Conflict; current?: StoredJob };

type ValueWriteResult =
  | { status: WriteStatus.Written; revision: number }
  | { status: WriteStatus.Conflict; current?: KeyValueEntry };

/** About 10 s in total, longer than most short outages of the key-value service. */
const READ_BACK_ATTEMPTS = 7;
const INITIAL_RETRY_DELAY_MS = 100;

const always = (): boolean => true;

/** Decodes an entry of the key-value service. */
export const decodeEntry = (entry: KeyValueEntry): Result<StoredJob, Fault> =>
  decodeJob(entry.value).map((record) => ({ record, revision: entry.modRevision }));

export class JobRecords {
  constructor(private readonly io: Pick<EntryVmIo, 'store' | 'timer' | 'random'>) {}

  async read(jobId: string): Reply<StoredJob | undefined> {
    const entry = await this.io.store.get(createJobKey(jobId));
    if (entry.isErr()) return err(entry.error);
    return entry.value === undefined ? ok(undefined) : decodeEntry(entry.value);
  }

  /**
   * Writes a record if its key still has the expected revision. A write with an unknown outcome is
   * resolved by reading the key; `mayWrite` is checked immediately before each attempt.
   */
  async write(
    record: JobRecord,
    expectedRevision: number,
    mayWrite: () => boolean = always,
  ): Reply<JobWriteResult> {
    const written = await this.writeValue(
      createJobKey(record.id),
      encodeJob(record),
      expectedRevision,
      mayWrite,
    );
    if (written.isErr()) return err(written.error);
    if (written.value.status === WriteStatus.Written) {
      const job = { record, revision: written.value.revision };
      return ok({ status: WriteStatus.Written, job });
    }
    const { current } = written.value;
    if (current === undefined) return ok({ status: WriteStatus.Conflict });
    return decodeEntry(current).map((job) => ({ status: WriteStatus.Conflict, current: job }));
  }

  /** Writes a value, resolving an unknown outcome by reading the key. */
  async writeValue(
    key: string,
    value: string,
    expectedRevision: number,
    mayWrite: () => boolean = always,
  ): Reply<ValueWriteResult> {
    let isOutcomeUnknown = false;
    for (let attempt = 0; attempt < READ_BACK_ATTEMPTS; attempt += 1) {
      if (!mayWrite()) return this.rejectStaleWrite(key, isOutcomeUnknown);
      const written = await this.io.store.write({ key, value, expectedRevision });
      if (written.isOk()) return this.resolveWriteResult(written.value, value, isOutcomeUnknown);
      if (written.error.outcome !== Outcome.OutcomeUnknown && !isOutcomeUnknown) {
        return err(written.error);
      }
      isOutcomeUnknown = true;
      await this.io.timer.sleep(
        INITIAL_RETRY_DELAY_MS * 2 ** attempt * (0.5 + this.io.random.next()),
      );
      const entry = await this.io.store.get(key);
      if (entry.isErr()) continue;
      if (entry.value?.value === value) {
        return ok({ status: WriteStatus.Written, revision: entry.value.modRevision });
      }
      // If the key is unchanged, the earlier attempt may still arrive. A retry with the same expected
      // revision is safe, because only one of the two can succeed.
      if ((entry.value?.modRevision ?? 0) !== expectedRevision) {
        return ok({
          status: WriteStatus.Conflict,
          ...(entry.value === undefined ? {} : { current: entry.value }),
        });
      }
    }
    return createOutcomeUnknownFault(
      'record-write',
      `outcome of the write of ${key} could not be determined`,
    );
  }

  private resolveWriteResult(
    written: ValueWriteResult,
    value: string,
    isOutcomeUnknown: boolean,
  ): Result<ValueWriteResult, Fault> {
    // A conflict with the value being written means that an earlier attempt took effect.
    if (
      isOutcomeUnknown &&
      written.status === WriteStatus.Conflict &&
      written.current?.value === value
    ) {
      return ok({ status: WriteStatus.Written, revision: written.current.modRevision });
    }
    return ok(written);
  }

  private rejectStaleWrite(key: string, isOutcomeUnknown: boolean): Result<never, Fault> {
    const message = `the shard lease ended before the write of ${key}`;
    return isOutcomeUnknown
      ? createOutcomeUnknownFault('record-write', message)
      : createNotRunFault(FaultCode.StaleFence, 'record-write', message);
  }
}
