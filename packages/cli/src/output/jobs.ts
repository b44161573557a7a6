/** Batch jobs as tables. */
import type { BatchJob } from '../client/shapes.js';
import { formatTable, formatTime } from './table.js';

const COLUMNS = ['ID', 'STATUS', 'ITEMS', 'COMPLETED', 'FAILED', 'CREATED', 'DUE', 'ENDED'];

export const formatJobs = (jobs: readonly BatchJob[]): string =>
  formatTable(
    COLUMNS,
    jobs.map((job) => [
      job.id,
      job.status,
      job.itemCount,
      job.completedItems,
      job.failedItems,
      formatTime(job.createdAt),
      formatTime(job.dueAt),
      formatTime(job.endedAt),
    ]),
  );
