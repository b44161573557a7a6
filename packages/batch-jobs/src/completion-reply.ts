/** Replies to the completion of a chunk whose job this owner does not list as open. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import { CompletionStatus, type ChunkCompletion } from '@jujubelanding/peer-protocol';
import { JobStatus } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { createNotRunFault } from './faults.js';
import type { JobRecords } from './job-records.js';

export const replyFromRecord = async (
  records: JobRecords,
  { jobId, chunk }: ChunkCompletion,
): Reply<{ status: CompletionStatus }> => {
  const stored = await records.read(jobId);
  if (stored.isErr()) return err(stored.error);
  const isCommitted = stored.value?.record.chunks[chunk]?.result !== undefined;
  if (!isCommitted && stored.value?.record.status === JobStatus.Open) {
    return createNotRunFault(
      FaultCode.Unavailable,
      'complete-chunk',
      'the owner has not loaded the job yet',
    );
  }
  return ok({ status: isCommitted ? CompletionStatus.Committed : CompletionStatus.Rejected });
};
