/** `jobs submit FILE`: submits a batch job. */
import type { Fault } from '@jujubelanding/errors';
import type { Result } from 'neverthrow';
import { type Client, Repetition } from '../../client/client.js';
import { JOBS_PATH } from '../../client/jobs.js';
import { BATCH_JOB, type BatchJob } from '../../client/shapes.js';
import { type Arguments, type Command, Credential } from '../../command-line/command.js';
import { Flag } from '../../command-line/flags.js';
import { ExitCode } from '../../exit-code.js';
import { type OpenInput, prepareInput } from '../../input/files.js';
import { checkItems } from '../../input/items.js';
import { formatJobs } from '../../output/jobs.js';
import { reportFault, reportUsage, writeAnswer, writeNote } from '../../output/output.js';
import { waitForJob } from './wait.js';

// A job of 570,000 items takes longer than other requests to send and to store.
const SUBMIT_TIMEOUT_MS = 600_000;

const MAX_KEY_CHARACTERS = 255;

const createQuery = ({ values }: Arguments): string => {
  const query = new URLSearchParams();
  for (const flag of [Flag.Model, Flag.Adapter, Flag.Job]) {
    const text = values[flag];
    if (text !== undefined) query.set(flag, text);
  }
  return query.toString();
};

const checkFlags = ({ values }: Arguments): string[] => {
  const faults: string[] = [];
  if ((values[Flag.Model] === undefined) === (values[Flag.Job] === undefined)) {
    faults.push(`--${Flag.Model}, --${Flag.Job}: allowed: exactly one of them`);
  }
  if (values[Flag.Adapter] !== undefined && values[Flag.Model] === undefined) {
    faults.push(`--${Flag.Adapter}: allowed: only together with --${Flag.Model}`);
  }
  if (!/^[\x21-\x7e]*$/.test(values[Flag.IdempotencyKey] ?? '')) {
    faults.push(`--${Flag.IdempotencyKey}: allowed: printable ASCII characters without spaces`);
  }
  if ((values[Flag.IdempotencyKey] ?? '').length > MAX_KEY_CHARACTERS) {
    faults.push(`--${Flag.IdempotencyKey}: allowed: up to ${MAX_KEY_CHARACTERS} characters`);
  }
  return faults;
};

/** Sends the items; under the idempotency key a repeated submission resolves to the first job. */
const submitItems = (
  args: Arguments,
  client: Client,
  open: OpenInput,
  idempotencyKey: string,
): Promise<Result<BatchJob, Fault>> =>
  client.send(
    {
      method: 'POST',
      path: `${JOBS_PATH}?${createQuery(args)}`,
      repetition: Repetition.Safe,
      headers: {
        'content-type': 'application/x-ndjson',
        'idempotency-key': idempotencyKey,
      },
      createBody: open,
      timeoutMs: SUBMIT_TIMEOUT_MS,
    },
    BATCH_JOB,
  );

export const jobsSubmit: Command = {
  description: 'Submits a batch job of NDJSON items; "-" reads standard input.',
  positional: ['FILE'],
  flags: [Flag.Model, Flag.Adapter, Flag.Job, Flag.IdempotencyKey, Flag.Wait],
  credential: Credential.Team,
  run: async (args, client, output) => {
    const faults = checkFlags(args);
    if (faults.length > 0) return reportUsage(output, faults);
    const open = await prepareInput(args.positional[0]!, args);
    const items = await checkItems(open);
    if (items.isErr()) return reportUsage(output, items.error);
    const idempotencyKey = args.values[Flag.IdempotencyKey] ?? client.createId();
    // Without the key a submission whose outcome is unknown could not be repeated.
    writeNote(output, `submitting ${items.value} items under idempotency key ${idempotencyKey}`);
    const job = await submitItems(args, client, open, idempotencyKey);
    if (job.isErr()) return reportFault(output, job.error);
    if (args.switches.has(Flag.Wait)) return waitForJob(client, output, job.value);
    writeAnswer(output, job.value, () => formatJobs([job.value]));
    return ExitCode.Ok;
  },
};
