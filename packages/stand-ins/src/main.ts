/** Starts one emulator as a program. */
import meow from 'meow';
import { getErrorMessage } from '@jujubelanding/errors';
import { createRandom } from '@jujubelanding/random';
import { SystemTimer } from '@jujubelanding/timer';
import { createEmulator, EMULATOR_NAMES, type EmulatorFlags } from './http/emulators.js';
import { listen } from './http/server.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

const cli = meow(
  `
  Usage
    stand-ins <${EMULATOR_NAMES.join('|')}> [options]

  Options
    --port               Port on the loopback address; 0 chooses a free one (default 0)
    --seed               Seed of random faults (default 1)
    --worker-id          Id of the engine or plain service (default worker)
    --lag-ms             Lag of the VM list (default 500)
    --bytes-per-second   Rate limit of the weight store (default 1000000000)
    --weight-store       host:port from which the engine loads models
    --settings           Engine settings as JSON
    --latency-ms         Time that the plain service takes (default 5)
  `,
  {
    importMeta: import.meta,
    description: 'Emulates one platform service or backend server, with fault injection',
    flags: {
      port: { type: 'number', default: 0 },
      seed: { type: 'number', default: 1 },
      workerId: { type: 'string', default: 'worker' },
      lagMs: { type: 'number', default: 500 },
      bytesPerSecond: { type: 'number', default: 1_000_000_000 },
      weightStore: { type: 'string' },
      settings: { type: 'string', default: '{}' },
      latencyMs: { type: 'number', default: 5 },
    },
  },
);

const run = async (): Promise<void> => {
  const flags: EmulatorFlags = cli.flags;
  const app = createEmulator(
    cli.input[0] ?? '',
    flags,
    new SystemTimer(),
    createRandom(flags.seed),
  );
  if (app.isErr()) {
    process.stderr.write(`${app.error}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const listener = await listen(app.value, flags.port);
  process.stdout.write(`listening address=${listener.address}\n`);
  const stop = (): void => {
    void listener.close().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
};

try {
  await run();
} catch (thrown) {
  process.stderr.write(`${getErrorMessage(thrown)}\n`);
  process.exitCode = EXIT_FAILURE;
}
