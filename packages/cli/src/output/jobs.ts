/** Formats batch jobs as a table. */
import type { BatchJob } from '../client/schemas.js';
import { formatTable } from './table.js';

const JOB_COLUMNS = [
  'ID',
  'STATUS',
  'MODEL',
  'ITEMS',
  'COMPLETED',
  'FAILED',
  'CREATED',
  'DUE',
  'ENDED',
];

export const formatJobs = (jobs: readonly BatchJob[]): string =>
  formatTable(
    JOB_COLUMNS,
    jobs.map((job) => [
      job.id,
      job.status,
      job.model,
      job.itemCount,
      job.completedItems,
      job.failedItems,
      job.createdAt,
      job.dueAt,
      job.endedAt,
    ]),
  );
