/** Client functions for batch jobs. */
import type { Fault } from '@jujubelanding/errors';
import type { Result } from 'neverthrow';
import { type Client, Repetition } from './client.js';
import { BATCH_JOB_SCHEMA, type BatchJob } from './schemas.js';

export const JOBS_PATH = '/v1/batches';

/** Creates the path of a job or of one of its subresources. */
export const createJobPath = (jobId: string, subresource?: string): string =>
  [JOBS_PATH, encodeURIComponent(jobId), ...(subresource === undefined ? [] : [subresource])].join(
    '/',
  );

export const readJob = (client: Client, jobId: string): Promise<Result<BatchJob, Fault>> =>
  client.send(
    { method: 'GET', path: createJobPath(jobId), repetition: Repetition.ReadOnly },
    BATCH_JOB_SCHEMA,
  );

/** Cancels a job; the request is idempotent. */
export const cancelJob = (client: Client, jobId: string): Promise<Result<BatchJob, Fault>> =>
  client.send(
    { method: 'POST', path: createJobPath(jobId, 'cancel'), repetition: Repetition.Idempotent },
    BATCH_JOB_SCHEMA,
  );
