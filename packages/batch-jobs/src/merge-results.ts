/** Pure merge of finished chunks into a job record. */
import { JobStatus, type JobRecord, type SegmentReference } from '@jujubelanding/types';

export interface FinishedChunk {
  result: SegmentReference;
  failedItems: number;
}

/**
 * Adds results to chunks that have none; the first committed result of a chunk is final. Returns
 * undefined when the record does not change, such as for a cancelled job or when a later owner has
 * written it.
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
    const addition = finished.get(chunk.index);
    if (addition === undefined || chunk.result !== undefined) return chunk;
    isChanged = true;
    return { ...chunk, ...addition };
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
