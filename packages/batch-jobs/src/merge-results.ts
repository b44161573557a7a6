/** Merges the results of finished chunks into a job record, as a pure function. */
import { JobStatus, type JobRecord, type SegmentReference } from '@jujubelanding/types';

export interface FinishedChunk {
  result: SegmentReference;
  failedItems: number;
}

/**
 * Adds results to chunks that have none; the first committed result of a chunk is final. Returns
 * undefined when the record does not change, for example because the job was cancelled or a later
 * owner has written the record.
 */
export const mergeResults = (
  record: JobRecord,
  finished: ReadonlyMap<number, FinishedChunk>,
  fence: number,
  wallClock: number,
): JobRecord | undefined => {
  if (record.status !== JobStatus.Open || record.fence > fence) return undefined;
  let isChanged = false;
  const chunks = record.chunks.map((chunk) => {
    const finishedChunk = finished.get(chunk.index);
    if (finishedChunk === undefined || chunk.result !== undefined) return chunk;
    isChanged = true;
    return { ...chunk, ...finishedChunk };
  });
  if (!isChanged) return undefined;
  const isDone = chunks.every((chunk) => chunk.result !== undefined);
  return {
    ...record,
    chunks,
    fence,
    ...(isDone ? { status: JobStatus.Completed, endedAt: wallClock } : {}),
  };
};
