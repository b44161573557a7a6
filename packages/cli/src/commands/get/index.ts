/** `get KIND NAME`: shows one record. */
import { readRecord } from '../../client/records.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { parseRecordKind } from '../../command-line/values.js';
import { ExitCode } from '../../exit-code.js';
import { reportFault, reportUsageErrors, writeResult } from '../../output/output.js';

export const get: Command = {
  description: 'Shows one record.',
  positional: ['KIND', 'NAME'],
  flags: [],
  credential: Credential.Operator,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async ({ positional: [kindText, name = ''] }, client, output) => {
    const kind = parseRecordKind(kindText);
    if (kind.isErr()) return reportUsageErrors(output, [kind.error]);
    const record = await readRecord(client, kind.value, name);
    if (record.isErr()) return reportFault(output, record.error);
    const { revision, schemaVersion, spec } = record.value;
    writeResult(output, record.value, () =>
      [
        `${kind.value} ${name}, revision ${revision}, schema version ${schemaVersion}`,
        JSON.stringify(spec, null, 2),
        '',
      ].join('\n'),
    );
    return ExitCode.Ok;
  },
};
