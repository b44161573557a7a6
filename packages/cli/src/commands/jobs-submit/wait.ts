/** Waiting for the end of a batch job. */
import { JobStatus } from '@jujubelanding/types';
import { type Client, isPassing } from '../../client/client.js';
import { readJob } from '../../client/jobs.js';
import type { BatchJob } from '../../client/shapes.js';
import { ExitCode } from '../../exit-code.js';
import { formatJobs } from '../../output/jobs.js';
import { type Output, reportFault, writeAnswer } from '../../output/output.js';
import { createProgress } from '../../output/progress.js';

const POLL_INTERVAL_MS = 1000;

const getEndCode = ({ status, failedItems }: BatchJob): ExitCode =>
  status === JobStatus.Completed && failedItems === 0 ? ExitCode.Ok : ExitCode.Failed;

/** Polls until the job has ended or the command's time is over. */
export const waitForJob = async (
  client: Client,
  output: Output,
  submitted: BatchJob,
): Promise<ExitCode> => {
  const progress = createProgress(output, submitted.itemCount);
  let job = submitted;
  try {
    while (job.status === JobStatus.Open && !client.isTimeOver()) {
      progress.update(job.completedItems);
      await client.pause(POLL_INTERVAL_MS);
      const answer = await readJob(client, job.id);
      if (answer.isOk()) job = answer.value;
      // Entry VMs that cannot be reached for a while do not end the job.
      else if (!isPassing(answer.error)) return reportFault(output, answer.error);
    }
    progress.update(job.completedItems);
  } finally {
    progress.stop();
  }
  writeAnswer(output, job, () => formatJobs([job]));
  return job.status === JobStatus.Open ? ExitCode.TimedOut : getEndCode(job);
};
