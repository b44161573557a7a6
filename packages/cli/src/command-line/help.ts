/** Help texts, generated from the definitions of commands and flags. */
import { ExitCode } from '../exit-code.js';
import type { Command } from './command.js';
import { type Flag, FLAG_DEFINITIONS, GLOBAL_FLAGS } from './flags.js';

const formatFlagHelp = (flag: Flag): string => {
  const { placeholder, variable, description } = FLAG_DEFINITIONS[flag];
  const usage = placeholder === undefined ? `--${flag}` : `--${flag} ${placeholder}`;
  const source = variable === undefined ? '' : ` (${variable})`;
  return `  ${usage.padEnd(30)}${description}${source}`;
};

const formatUsage = (name: string, command: Command): string =>
  [name, ...command.positional].join(' ');

const EXIT_CODES_HELP = Object.entries(ExitCode)
  .filter(([, code]) => typeof code === 'number')
  .map(([name, code]) => `${code} ${name}`)
  .join(', ');

/** Creates the help text of the tool. */
export const createHelp = (commands: Readonly<Record<string, Command>>): string =>
  [
    'Usage: jujubelanding COMMAND [arguments] [flags]',
    '',
    'Commands:',
    ...Object.entries(commands).map(
      ([name, command]) => `  ${formatUsage(name, command).padEnd(30)}${command.description}`,
    ),
    '',
    'Flags of all commands:',
    ...GLOBAL_FLAGS.map(formatFlagHelp),
    '',
    `Exit codes: ${EXIT_CODES_HELP}`,
    '',
  ].join('\n');

/** Creates the help text of one command. */
export const createCommandHelp = (name: string, command: Command): string =>
  [
    `Usage: jujubelanding ${formatUsage(name, command)} [flags]`,
    '',
    command.description,
    '',
    ...command.flags.map(formatFlagHelp),
    ...GLOBAL_FLAGS.map(formatFlagHelp),
    '',
  ].join('\n');
