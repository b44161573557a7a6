/** Updates a job record by compare-and-swap, applying the change again after each conflict. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import { WriteStatus } from '@jujubelanding/platform';
import type { JobRecord } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { createNotRunFault } from './faults.js';
import type { JobRecords, StoredJob } from './job-records.js';

const MAX_CONFLICTS = 10;

/** Returns the changed record, or undefined when no change is needed. */
export type JobChange = (record: JobRecord) => JobRecord | undefined;

/** Applies a change and returns the stored record, or undefined when the job no longer exists. */
export const updateJob = async (
  records: JobRecords,
  initial: StoredJob,
  change: JobChange,
  mayWrite?: () => boolean,
): Reply<StoredJob | undefined> => {
  let current = initial;
  for (let conflict = 0; conflict < MAX_CONFLICTS; conflict += 1) {
    const changed = change(current.record);
    if (changed === undefined) return ok(current);
    const written = await records.write(changed, current.revision, mayWrite);
    if (written.isErr()) return err(written.error);
    if (written.value.status === WriteStatus.Written) return ok(written.value.job);
    if (written.value.current === undefined) return ok(undefined);
    current = written.value.current;
  }
  return createNotRunFault(
    FaultCode.Conflict,
    'record-write',
    `too many conflicts on job ${initial.record.id}`,
  );
};
