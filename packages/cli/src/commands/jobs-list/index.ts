/** `jobs list`: lists the team's batch jobs. */
import { Repetition } from '../../client/client.js';
import { JOBS_PATH } from '../../client/jobs.js';
import { BATCH_JOB_LIST_SCHEMA } from '../../client/schemas.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { ExitCode } from '../../exit-code.js';
import { formatJobs } from '../../output/jobs.js';
import { reportFault, writeResult } from '../../output/output.js';

export const jobsList: Command = {
  description: "Lists the team's batch jobs.",
  positional: [],
  flags: [],
  credential: Credential.Team,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async (_, client, output) => {
    const response = await client.send(
      { method: 'GET', path: JOBS_PATH, repetition: Repetition.ReadOnly },
      BATCH_JOB_LIST_SCHEMA,
    );
    if (response.isErr()) return reportFault(output, response.error);
    writeResult(output, response.value, () => formatJobs(response.value.jobs));
    return ExitCode.Ok;
  },
};
