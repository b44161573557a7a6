/** Command-line entry point of the replay. */
import { readFile } from 'node:fs/promises';
import { createLog } from '@jujubelanding/log';
import meow from 'meow';
import { getErrorMessage } from '@jujubelanding/errors';
import { ExitCode, replayText, type ReplayReport } from './replay-text.js';

const HELP = `
  Usage
    $ npm run replay -- FILE... [--log]

  Options
    --log  write the logs of all entry VMs; filter them with DEBUG

  Exit codes
    0  all outcomes are as expected
    1  an outcome differs
    2  a trace is invalid or can't be read
`;

const { input, flags } = meow(HELP, {
  importMeta: import.meta,
  flags: { log: { type: 'boolean', default: false } },
});

const replayFile = async (file: string): Promise<ReplayReport> => {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (thrown) {
    return { exitCode: ExitCode.Invalid, lines: [`${file}: ${getErrorMessage(thrown)}`] };
  }
  return replayText(
    file,
    text,
    flags.log ? { createLog: (entryVmId) => (part) => createLog(`${entryVmId}:${part}`) } : {},
  );
};

if (input.length === 0) {
  console.error('no FILE given; see --help');
  process.exit(ExitCode.Invalid);
}

let exitCode = ExitCode.AsExpected;
for (const file of input) {
  const report = await replayFile(file);
  report.lines.forEach((line) => console.log(line));
  exitCode = Math.max(exitCode, report.exitCode);
}
process.exit(exitCode);
