/** `jobs cancel ID`: cancels a batch job. */
import { cancelJob } from '../../client/jobs.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { ExitCode } from '../../exit-code.js';
import { formatJobs } from '../../output/jobs.js';
import { reportFault, writeResult } from '../../output/output.js';

export const jobsCancel: Command = {
  description: 'Cancels a batch job.',
  positional: ['ID'],
  flags: [],
  credential: Credential.Team,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async ({ positional }, client, output) => {
    const job = await cancelJob(client, positional[0]!);
    if (job.isErr()) return reportFault(output, job.error);
    writeResult(output, job.value, () => formatJobs([job.value]));
    return ExitCode.Ok;
  },
};
