/** `status`: shows the configuration revision that each entry VM holds and the one that is active. */
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
    const fleetStatus = await readStatus(client);
    if (fleetStatus.isErr()) return reportFault(output, fleetStatus.error);
    const { acceptedRevision, inForceEverywhere, since, entryVms, invalidRecords } =
      fleetStatus.value;
    const sinceText = since === undefined ? '' : ` since ${since}`;
    writeResult(output, fleetStatus.value, () =>
      [
        `accepted revision ${acceptedRevision}, `,
        `${inForceEverywhere ? 'in force everywhere' : 'not in force everywhere'}${sinceText}\n\n`,
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
      writeInfo(output, `invalid record: ${JSON.stringify(record)}`);
    }
    return ExitCode.Ok;
  },
};
