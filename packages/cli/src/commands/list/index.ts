/** `list KIND`: lists all records of a kind. */
import { Repetition } from '../../client/client.js';
import { createRecordPath } from '../../client/records.js';
import { RECORD_LIST_SCHEMA } from '../../client/schemas.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { parseRecordKind } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { reportFault, reportUsageErrors, writeResult, writeInfo } from '../../output/output.js';
import { formatTable } from '../../output/table.js';

export const list: Command = {
  description: 'Lists all records of a kind.',
  positional: ['KIND'],
  flags: [],
  credential: Credential.Operator,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async ({ positional: [kindText] }, client, output) => {
    const kind = parseRecordKind(kindText);
    if (kind.isErr()) return reportUsageErrors(output, [kind.error]);
    const response = await client.send(
      { method: 'GET', path: createRecordPath(kind.value), repetition: Repetition.ReadOnly },
      RECORD_LIST_SCHEMA,
    );
    if (response.isErr()) return reportFault(output, response.error);
    writeResult(output, response.value, () =>
      formatTable(
        ['NAME', 'REVISION', 'SCHEMA', 'SPEC'],
        response.value.records.map(({ name, revision, schemaVersion, spec }) => [
          name,
          revision,
          schemaVersion,
          JSON.stringify(spec),
        ]),
      ),
    );
    for (const { name, revision } of response.value.invalid) {
      writeInfo(output, `${kind.value} ${name}, revision ${revision}: does not match its schema`);
    }
    return ExitCode.Ok;
  },
};
