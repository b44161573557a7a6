/** Entry point of the program `jujubelanding`. */
import { once } from 'node:events';
import { createSystemRandom } from '@jujubelanding/random';
import { SystemTimer } from '@jujubelanding/timer';
import manifest from '../package.json' with { type: 'json' };
import { ExitCode } from './exit-code.js';
import { runCommandLine } from './run.js';

// A reader such as `head` closes the pipe early, which is not a failure of the command.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  process.exit(error.code === 'EPIPE' ? ExitCode.Ok : ExitCode.Failed);
});

process.exitCode = await runCommandLine(process.argv.slice(2), process.env, {
  timer: new SystemTimer(),
  random: createSystemRandom(),
  standardInput: process.stdin,
  ...(process.stderr.isTTY ? { terminal: process.stderr } : {}),
  version: manifest.version,
  write: (text) => process.stdout.write(text),
  writeError: (text) => process.stderr.write(text),
  drain: async () => {
    if (process.stdout.writableNeedDrain) await once(process.stdout, 'drain');
  },
});
