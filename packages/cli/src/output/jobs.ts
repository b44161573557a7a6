/** Batch jobs as tables. */
import type { BatchJob } from '../client/shapes.js';
import { formatTable } from './table.js';

const COLUMNS = [
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
    COLUMNS,
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
