/** `delete KIND NAME`: deletes a record. */
import { ok } from 'neverthrow';
import { readRecord, removeRecord, waitUntilActive } from '../../client/records.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { Flag } from '../../command-line/flags.js';
import { parseAuthor, parseIntegerFlag, parseRecordKind } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { reportFault, reportUsageErrors, writeResult, writeInfo } from '../../output/output.js';

export const deleteRecord: Command = {
  description: 'Deletes a record.',
  positional: ['KIND', 'NAME'],
  flags: [Flag.ExpectedRevision, Flag.Operator, Flag.Wait],
  credential: Credential.Operator,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async (args, client, output) => {
    const [kindText, name = ''] = args.positional;
    const kind = parseRecordKind(kindText);
    const expected = parseIntegerFlag(args, Flag.ExpectedRevision);
    if (kind.isErr()) return reportUsageErrors(output, [kind.error]);
    if (expected.isErr()) return reportUsageErrors(output, [expected.error]);
    const author = parseAuthor(args);
    if (author.isErr()) return reportUsageErrors(output, [author.error]);
    const current =
      expected.value === undefined
        ? (await readRecord(client, kind.value, name)).map((record) => record.revision)
        : ok(expected.value);
    if (current.isErr()) return reportFault(output, current.error);
    const deletion = await removeRecord(client, kind.value, name, current.value, author.value);
    if (deletion.isErr()) return reportFault(output, deletion.error);
    const revision = deletion.value;
    writeResult(
      output,
      { kind: kind.value, name, revision },
      () => `${kind.value} ${name} deleted at revision ${revision}\n`,
    );
    if (!args.switches.has(Flag.Wait) || (await waitUntilActive(client, revision))) {
      return ExitCode.Ok;
    }
    writeInfo(output, `revision ${revision} is not yet in force everywhere`);
    return ExitCode.TimedOut;
  },
};
