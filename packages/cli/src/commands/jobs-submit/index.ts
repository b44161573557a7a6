/** `jobs submit FILE`: submits a batch job. */
import type { Fault } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import { type Client, Repetition } from '../../client/client.js';
import { JOBS_PATH } from '../../client/jobs.js';
import { SUBMITTED_JOB_SCHEMA, type SubmittedJob } from '../../client/schemas.js';
import { type Arguments, type Command, Credential } from '../../command-line/command.js';
import { Flag } from '../../command-line/flags.js';
import { parseDurationFlag } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { type OpenInput, createInputOpener } from '../../input/files.js';
import { checkItems } from '../../input/items.js';
import { formatJobs } from '../../output/jobs.js';
import { reportFault, reportUsageErrors, writeResult, writeInfo } from '../../output/output.js';
import { waitForJob } from './wait-for-job.js';

// Sending and storing a job of 570,000 items takes longer than other requests.
const SUBMIT_TIMEOUT_MS = 600_000;

const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** Validates the flags and creates the query, which describes the job; the body holds only items. */
const createQuery = (args: Arguments): Result<string, string[]> => {
  const { values } = args;
  const errors: string[] = [];
  const query = new URLSearchParams();
  const dueIn = parseDurationFlag(args, Flag.DueIn);
  if (dueIn.isErr()) errors.push(dueIn.error);
  else if (dueIn.value !== undefined) query.set('dueInMs', String(dueIn.value));
  if ((values[Flag.Model] === undefined) === (values[Flag.Job] === undefined)) {
    errors.push(`--${Flag.Model}, --${Flag.Job}: allowed: exactly one of them`);
  }
  for (const flag of [Flag.Adapter, Flag.DueIn]) {
    if (values[flag] !== undefined && values[Flag.Job] !== undefined) {
      errors.push(`--${flag}: allowed: only without --${Flag.Job}, which sets it`);
    }
  }
  // The placeholder passes the check; an absent key is generated when the job is submitted.
  if (!IDEMPOTENCY_KEY_PATTERN.test(values[Flag.IdempotencyKey] ?? 'absent')) {
    errors.push(
      `--${Flag.IdempotencyKey}: allowed: 1 to 255 printable ASCII characters, no spaces`,
    );
  }
  for (const flag of [Flag.Model, Flag.Adapter, Flag.Job]) {
    const text = values[flag];
    if (text !== undefined) query.set(flag, text);
  }
  return errors.length > 0 ? err(errors) : ok(query.toString());
};

/** Sends the items; a repeated submission under the same idempotency key returns the first job. */
const submitItems = (
  client: Client,
  query: string,
  open: OpenInput,
  idempotencyKey: string,
): Promise<Result<SubmittedJob, Fault>> =>
  client.send(
    {
      method: 'POST',
      path: `${JOBS_PATH}?${query}`,
      repetition: Repetition.Idempotent,
      headers: {
        'content-type': 'application/x-ndjson',
        'idempotency-key': idempotencyKey,
      },
      createBody: open,
      timeoutMs: SUBMIT_TIMEOUT_MS,
    },
    SUBMITTED_JOB_SCHEMA,
  );

export const jobsSubmit: Command = {
  description: 'Submits a batch job of NDJSON items; "-" reads standard input.',
  positional: ['FILE'],
  flags: [Flag.Model, Flag.Adapter, Flag.Job, Flag.DueIn, Flag.IdempotencyKey, Flag.Wait],
  credential: Credential.Team,
  run: async (args, client, output) => {
    const query = createQuery(args);
    if (query.isErr()) return reportUsageErrors(output, query.error);
    const open = await createInputOpener(args.positional[0]!, args);
    const items = await checkItems(open);
    if (items.isErr()) return reportUsageErrors(output, items.error);
    const idempotencyKey = args.values[Flag.IdempotencyKey] ?? client.createId();
    // Printed because a submission whose outcome is unknown can only be repeated under its key.
    writeInfo(output, `submitting ${items.value} items under idempotency key ${idempotencyKey}`);
    const job = await submitItems(client, query.value, open, idempotencyKey);
    if (job.isErr()) return reportFault(output, job.error);
    if (job.value.resent === true) {
      writeInfo(output, 'the idempotency key was used before; showing its job');
    }
    if (args.switches.has(Flag.Wait)) return waitForJob(client, output, job.value);
    writeResult(output, job.value, () => formatJobs([job.value]));
    return ExitCode.Ok;
  },
};
