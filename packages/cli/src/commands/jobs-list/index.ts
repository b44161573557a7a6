/** `jobs list`: lists the team's batch jobs. */
import { Repetition } from '../../client/client.js';
import { JOBS_PATH } from '../../client/jobs.js';
import { BATCH_JOB_LIST } from '../../client/shapes.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { ExitCode } from '../../exit-code.js';
import { formatJobs } from '../../output/jobs.js';
import { reportFault, writeAnswer } from '../../output/output.js';

export const jobsList: Command = {
  description: "Lists the team's batch jobs.",
  positional: [],
  flags: [],
  credential: Credential.Team,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async (_, client, output) => {
    const answer = await client.send(
      { method: 'GET', path: JOBS_PATH, repetition: Repetition.Read },
      BATCH_JOB_LIST,
    );
    if (answer.isErr()) return reportFault(output, answer.error);
    writeAnswer(output, answer.value, () => formatJobs(answer.value.jobs));
    return ExitCode.Ok;
  },
};
