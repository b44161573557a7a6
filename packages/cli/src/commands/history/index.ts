/** `history KIND NAME`: lists the revisions of a record. */
import { Repetition } from '../../client/client.js';
import { createRecordPath } from '../../client/records.js';
import { HISTORY_SCHEMA } from '../../client/schemas.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { parseRecordKind } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { reportFault, reportUsageErrors, writeResult } from '../../output/output.js';
import { formatTable } from '../../output/table.js';

export const history: Command = {
  description: 'Lists the revisions of a record.',
  positional: ['KIND', 'NAME'],
  flags: [],
  credential: Credential.Operator,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async ({ positional: [kindText, name = ''] }, client, output) => {
    const kind = parseRecordKind(kindText);
    if (kind.isErr()) return reportUsageErrors(output, [kind.error]);
    const path = `${createRecordPath(kind.value, name)}/history`;
    const response = await client.send(
      { method: 'GET', path, repetition: Repetition.ReadOnly },
      HISTORY_SCHEMA,
    );
    if (response.isErr()) return reportFault(output, response.error);
    writeResult(output, response.value, () =>
      formatTable(
        ['REVISION', 'TIME', 'AUTHOR', 'SCHEMA', 'SPEC'],
        response.value.revisions.map(({ revision, time, author, schemaVersion, spec }) => [
          revision,
          time === undefined ? undefined : new Date(time).toISOString(),
          author,
          schemaVersion,
          spec === undefined ? 'deleted' : JSON.stringify(spec),
        ]),
      ),
    );
    return ExitCode.Ok;
  },
};
