/** Representation of jobs in API responses. */
import type { JobRecord } from '@jujubelanding/types';

const formatTimestamp = (epochMs: number): string => new Date(epochMs).toISOString();

/** Converts a job record to its API representation, without the chunk table and other internals. */
export const toJobView = (job: JobRecord) => {
  const finished = job.chunks.filter((chunk) => chunk.result !== undefined);
  const completedItems = finished.reduce((sum, chunk) => sum + chunk.itemCount, 0);
  return {
    id: job.id,
    status: job.status,
    model: job.model,
    ...(job.adapter === undefined ? {} : { adapter: job.adapter }),
    ...(job.jobClass === undefined ? {} : { job: job.jobClass }),
    idempotencyKey: job.idempotencyKey,
    itemCount: job.itemCount,
    completedItems,
    failedItems: finished.reduce((sum, chunk) => sum + chunk.failedItems, 0),
    createdAt: formatTimestamp(job.createdAt),
    dueAt: formatTimestamp(job.dueAt),
    ...(job.endedAt === undefined ? {} : { endedAt: formatTimestamp(job.endedAt) }),
  };
};
