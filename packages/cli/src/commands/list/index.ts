/** `list KIND`: lists all records of a kind. */
import { Repetition } from '../../client/client.js';
import { createRecordPath } from '../../client/records.js';
import { RECORD_LIST } from '../../client/shapes.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { readKind } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { reportFault, reportUsage, writeAnswer, writeNote } from '../../output/output.js';
import { formatTable } from '../../output/table.js';

export const list: Command = {
  description: 'Lists all records of a kind.',
  positional: ['KIND'],
  flags: [],
  credential: Credential.Operator,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async ({ positional: [kindText] }, client, output) => {
    const kind = readKind(kindText);
    if (kind.isErr()) return reportUsage(output, [kind.error]);
    const answer = await client.send(
      { method: 'GET', path: createRecordPath(kind.value), repetition: Repetition.Read },
      RECORD_LIST,
    );
    if (answer.isErr()) return reportFault(output, answer.error);
    writeAnswer(output, answer.value, () =>
      formatTable(
        ['NAME', 'REVISION', 'SCHEMA', 'SPEC'],
        answer.value.records.map(({ name, revision, schemaVersion, spec }) => [
          name,
          revision,
          schemaVersion,
          JSON.stringify(spec),
        ]),
      ),
    );
    for (const { name, revision } of answer.value.invalid) {
      writeNote(output, `${kind.value} ${name}, revision ${revision}: does not match its schema`);
    }
    return ExitCode.Ok;
  },
};
