/** `entry-points`: shows the entry VMs that a caller should use. */
import { Repetition } from '../../client/client.js';
import { ENTRY_POINTS_SCHEMA } from '../../client/schemas.js';
import { type Command, Credential, DEFAULT_TIMEOUT_MS } from '../../command-line/command.js';
import { Flag } from '../../command-line/flags.js';
import { ExitCode } from '../../exit-code.js';
import { reportFault, writeResult } from '../../output/output.js';
import { formatTable } from '../../output/table.js';

export const entryPoints: Command = {
  description: 'Shows the entry VMs that a caller should use.',
  positional: [],
  flags: [Flag.AvailabilityZone],
  credential: Credential.None,
  defaultTimeoutMs: DEFAULT_TIMEOUT_MS,
  run: async ({ values }, client, output) => {
    const zone = values[Flag.AvailabilityZone];
    const query = zone === undefined ? '' : `?zone=${encodeURIComponent(zone)}`;
    const response = await client.send(
      { method: 'GET', path: `/v1/entry-points${query}`, repetition: Repetition.ReadOnly },
      ENTRY_POINTS_SCHEMA,
    );
    if (response.isErr()) return reportFault(output, response.error);
    writeResult(output, response.value, () =>
      [
        formatTable(
          ['ADDRESS', 'ZONE'],
          response.value.entryPoints.map(({ address, availabilityZone }) => [
            address,
            availabilityZone,
          ]),
        ),
        `\nvalid for ${response.value.lifetimeMs} ms\n`,
      ].join(''),
    );
    return ExitCode.Ok;
  },
};
