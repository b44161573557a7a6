/** Help texts, made from the tables of commands and flags. */
import { ExitCode } from '../exit-code.js';
import type { Command } from './command.js';
import { type Flag, FLAGS, GLOBAL_FLAGS } from './flags.js';

const describeFlag = (flag: Flag): string => {
  const { placeholder, variable, description } = FLAGS[flag];
  const head = placeholder === undefined ? `--${flag}` : `--${flag} ${placeholder}`;
  const source = variable === undefined ? '' : ` (${variable})`;
  return `  ${head.padEnd(30)}${description}${source}`;
};

const describeUsage = (name: string, command: Command): string =>
  [name, ...command.positional].join(' ');

const EXIT_CODES = Object.entries(ExitCode)
  .filter(([, code]) => typeof code === 'number')
  .map(([name, code]) => `${code} ${name}`)
  .join(', ');

/** Help text of the tool. */
export const createHelp = (commands: Readonly<Record<string, Command>>): string =>
  [
    'Usage: jujubelanding COMMAND [arguments] [flags]',
    '',
    'Commands:',
    ...Object.entries(commands).map(
      ([name, command]) => `  ${describeUsage(name, command).padEnd(30)}${command.description}`,
    ),
    '',
    'Flags of all commands:',
    ...GLOBAL_FLAGS.map(describeFlag),
    '',
    `Exit codes: ${EXIT_CODES}`,
    '',
  ].join('\n');

/** Help text of one command. */
export const createCommandHelp = (name: string, command: Command): string =>
  [
    `Usage: jujubelanding ${describeUsage(name, command)} [flags]`,
    '',
    command.description,
    '',
    ...command.flags.map(describeFlag),
    ...GLOBAL_FLAGS.map(describeFlag),
    '',
  ].join('\n');
