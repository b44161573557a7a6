/** `jobs results ID`: writes the results of a batch job as NDJSON. */
import { getErrorMessage } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import { readJob } from '../../client/jobs.js';
import type { BatchJob } from '../../client/schemas.js';
import { type Arguments, type Command, Credential } from '../../command-line/command.js';
import { Flag } from '../../command-line/flags.js';
import { parseIntegerFlag } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { type Output, reportFault, reportUsageErrors, writeInfo } from '../../output/output.js';
import { type ItemRange, ResultReader } from './result-reader.js';
import { openSink, type Sink } from './sink.js';

const parseRange = (args: Arguments, { itemCount }: BatchJob): Result<ItemRange, string> => {
  const from = parseIntegerFlag(args, Flag.From);
  const to = parseIntegerFlag(args, Flag.To);
  if (from.isErr()) return err(from.error);
  if (to.isErr()) return err(to.error);
  const range = { from: from.value ?? 0, to: to.value ?? itemCount };
  return range.from <= range.to && range.to <= itemCount
    ? ok(range)
    : err(
        `--${Flag.From} ${range.from}, --${Flag.To} ${range.to}: not allowed; allowed: ` +
          `0 <= from <= to <= ${itemCount}`,
      );
};

const writeResults = async (
  output: Output,
  job: BatchJob,
  sink: Sink,
  reader: ResultReader,
): Promise<ExitCode> => {
  const count = await reader.read();
  if (count.isErr()) {
    await sink.discard();
    return reportFault(output, count.error);
  }
  await sink.finish();
  writeInfo(output, `${count.value} results of ${job.itemCount} items, job ${job.status}`);
  return ExitCode.Ok;
};

const openOutput = async (args: Arguments, output: Output): Promise<Result<Sink, string>> => {
  const path = args.values[Flag.Output];
  try {
    return ok(await openSink(path, output));
  } catch (thrown) {
    return err(`--${Flag.Output}: ${getErrorMessage(thrown)}; allowed: a file that can be written`);
  }
};

export const jobsResults: Command = {
  description: 'Writes the results of a batch job as NDJSON.',
  positional: ['ID'],
  flags: [Flag.From, Flag.To, Flag.Output],
  credential: Credential.Team,
  run: async (args, client, output) => {
    const job = await readJob(client, args.positional[0]!);
    if (job.isErr()) return reportFault(output, job.error);
    const range = parseRange(args, job.value);
    if (range.isErr()) return reportUsageErrors(output, [range.error]);
    const sink = await openOutput(args, output);
    if (sink.isErr()) return reportUsageErrors(output, [sink.error]);
    const reader = new ResultReader(client, job.value, range.value, sink.value);
    return writeResults(output, job.value, sink.value, reader);
  },
};
