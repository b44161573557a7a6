/** Waits for the end of a batch job. */
import { JobStatus } from '@jujubelanding/types';
import { type Client, isTransient } from '../../client/client.js';
import { readJob } from '../../client/jobs.js';
import type { BatchJob } from '../../client/schemas.js';
import { ExitCode } from '../../exit-code.js';
import { formatJobs } from '../../output/jobs.js';
import { type Output, reportFault, writeResult } from '../../output/output.js';
import { createProgress } from '../../output/progress.js';

const POLL_INTERVAL_MS = 1000;

const getJobExitCode = ({ status, failedItems }: BatchJob): ExitCode =>
  status === JobStatus.Completed && failedItems === 0 ? ExitCode.Ok : ExitCode.Failed;

/** Polls until the job has ended or the command times out, and writes the job. */
export const waitForJob = async (
  client: Client,
  output: Output,
  submitted: BatchJob,
): Promise<ExitCode> => {
  const progress = createProgress(output, submitted.itemCount);
  let job = submitted;
  try {
    while (job.status === JobStatus.Open && !client.isDeadlineExceeded()) {
      progress.update(job.completedItems);
      await client.sleep(POLL_INTERVAL_MS);
      const response = await readJob(client, job.id);
      if (response.isOk()) job = response.value;
      // A transient fault, such as unreachable entry VMs, does not end the wait.
      else if (!isTransient(response.error)) return reportFault(output, response.error);
    }
    progress.update(job.completedItems);
  } finally {
    progress.stop();
  }
  writeResult(output, job, () => formatJobs([job]));
  return job.status === JobStatus.Open ? ExitCode.TimedOut : getJobExitCode(job);
};
