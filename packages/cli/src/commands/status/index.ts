/** `status`: shows which configuration revision each entry VM holds and has in force. */
import { readStatus } from '../../client/records.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { ExitCode } from '../../exit-code.js';
import { reportFault, writeResult, writeInfo } from '../../output/output.js';
import { formatTable } from '../../output/table.js';

export const status: Command = {
  description: 'Shows the configuration revisions of all entry VMs.',
  positional: [],
  flags: [],
  credential: Credential.Operator,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async (_, client, output) => {
    const answer = await readStatus(client);
    if (answer.isErr()) return reportFault(output, answer.error);
    const { acceptedRevision, inForceEverywhere, since, entryVms, invalidRecords } = answer.value;
    const duration = since === undefined ? '' : ` since ${since}`;
    writeResult(output, answer.value, () =>
      [
        `accepted revision ${acceptedRevision}, `,
        `${inForceEverywhere ? 'in force everywhere' : 'not in force everywhere'}${duration}\n\n`,
        formatTable(
          ['ENTRY VM', 'ZONE', 'STATE', 'HELD', 'ACTIVE'],
          entryVms.map((vm) => [
            vm.entryVmId,
            vm.availabilityZone,
            vm.state,
            vm.heldRevision,
            vm.activeRevision,
          ]),
        ),
      ].join(''),
    );
    for (const record of invalidRecords) {
      writeInfo(output, `not usable: ${JSON.stringify(record)}`);
    }
    return ExitCode.Ok;
  },
};
