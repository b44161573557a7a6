/** `apply FILE`: creates or updates the records of a file. */
import type { Fault } from '@jujubelanding/errors';
import { ok, type Result } from 'neverthrow';
import { Err, type Result as Collected } from 'ts-results-es';
import type { Client } from '../../client/client.js';
import { waitUntilActive, writeRecord } from '../../client/records.js';
import {
  type Arguments,
  type Command,
  Credential,
  DEFAULT_TIMEOUT_MS,
} from '../../command-line/command.js';
import { Flag } from '../../command-line/flags.js';
import { parseAuthor, parseIntegerFlag } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { readInputText } from '../../input/files.js';
import { type FileRecord, parseRecords } from '../../input/records.js';
import {
  OutputFormat,
  type Output,
  reportFault,
  reportUsageErrors,
  writeResult,
  writeInfo,
} from '../../output/output.js';
import { formatTable } from '../../output/table.js';
import {
  ChangeAction,
  formatPlan,
  planAtRevision,
  planChanges,
  type PlannedChange,
} from './plan.js';

interface AppliedChange {
  action: ChangeAction;
  kind: string;
  name: string;
  revision: number;
}

const createPlan = async (
  args: Arguments,
  client: Client,
  records: readonly FileRecord[],
  expectedRevision?: number,
): Promise<Result<PlannedChange[], Fault>> => {
  // A dry run shows the differences, so it always reads the current record.
  if (expectedRevision === undefined || args.switches.has(Flag.DryRun)) {
    return planChanges(client, records, expectedRevision);
  }
  return ok(records.map((record) => planAtRevision(record, expectedRevision)));
};

/** Writes in the order of the file; stops at the first fault, because records build on earlier ones. */
const writeChanges = async (
  client: Client,
  changes: readonly PlannedChange[],
  author: string | undefined,
): Promise<{ applied: AppliedChange[]; fault?: Fault }> => {
  const applied: AppliedChange[] = [];
  for (const { action, write } of changes) {
    const { kind, name, expectedRevision } = write;
    if (action === ChangeAction.Unchanged) {
      applied.push({ action, kind, name, revision: expectedRevision });
      continue;
    }
    const written = await writeRecord(client, write, author);
    if (written.isErr()) return { applied, fault: written.error };
    applied.push({ action, kind, name, revision: written.value.revision });
  }
  return { applied };
};

const reportAppliedChanges = (output: Output, applied: readonly AppliedChange[]): void =>
  writeResult(output, { records: applied }, () =>
    formatTable(
      ['ACTION', 'KIND', 'NAME', 'REVISION'],
      applied.map(({ action, kind, name, revision }) => [action, kind, name, revision]),
    ),
  );

const applyChanges = async (
  args: Arguments,
  client: Client,
  output: Output,
  changes: readonly PlannedChange[],
): Promise<ExitCode> => {
  const { applied, fault } = await writeChanges(client, changes, args.values[Flag.Operator]);
  if (applied.length > 0 || output.format === OutputFormat.Json) {
    reportAppliedChanges(output, applied);
  }
  if (fault !== undefined) {
    const { kind, name } = changes[applied.length]!.write;
    writeInfo(
      output,
      `stopped at ${kind} ${name}; records not written: ${changes.length - applied.length}`,
    );
    return reportFault(output, fault);
  }
  const revision = Math.max(...applied.map((change) => change.revision));
  if (!args.switches.has(Flag.Wait) || (await waitUntilActive(client, revision))) {
    return ExitCode.Ok;
  }
  writeInfo(output, `revision ${revision} is not yet in force everywhere`);
  return ExitCode.TimedOut;
};

const readInput = async (args: Arguments): Promise<Collected<FileRecord[], string[]>> => {
  const text = await readInputText(args.positional[0]!, args);
  return text.isErr() ? Err([text.error]) : parseRecords(text.value);
};

export const apply: Command = {
  description: 'Writes the records of a file; "-" reads standard input.',
  positional: ['FILE'],
  flags: [Flag.ExpectedRevision, Flag.DryRun, Flag.Operator, Flag.Wait],
  credential: Credential.Operator,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async (args, client, output) => {
    const expected = parseIntegerFlag(args, Flag.ExpectedRevision);
    const author = parseAuthor(args);
    if (expected.isErr()) return reportUsageErrors(output, [expected.error]);
    if (author.isErr()) return reportUsageErrors(output, [author.error]);
    const records = await readInput(args);
    if (records.isErr()) return reportUsageErrors(output, records.error);
    if (expected.value !== undefined && records.value.length > 1) {
      return reportUsageErrors(output, [
        `--${Flag.ExpectedRevision}: ${records.value.length} records given; allowed: one record`,
      ]);
    }
    const plan = await createPlan(args, client, records.value, expected.value);
    if (plan.isErr()) return reportFault(output, plan.error);
    if (!args.switches.has(Flag.DryRun)) return applyChanges(args, client, output, plan.value);
    writeResult(output, { changes: plan.value }, () => formatPlan(plan.value));
    return ExitCode.Ok;
  },
};
