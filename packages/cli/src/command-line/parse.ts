/** Parses the command line with meow and collects all errors. */
import type { Readable } from 'node:stream';
import { attachSecrets } from '@jujubelanding/settings';
import meow from 'meow';
import { Err, Ok, Result } from 'ts-results-es';
import type { Arguments, Command } from './command.js';
import { Flag, FlagKind, FLAG_DEFINITIONS, GLOBAL_FLAGS } from './flags.js';

export type Environment = Readonly<Record<string, string | undefined>>;

export interface ParsedCommandLine {
  /** Name of the command, such as `jobs list`; absent if only global flags are given. */
  name?: string;
  command?: Command;
  args: Arguments;
  entryVms: string[];
}

interface UncheckedCommandLine {
  input: string[];
  flags: Record<string, unknown>;
}

const toCamelCase = (flag: string): string =>
  flag.replaceAll(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());

const ALL_FLAGS = Object.values(Flag);
const FLAGS_BY_CAMEL_CASE = new Map(ALL_FLAGS.map((flag) => [toCamelCase(flag), flag]));

const MEOW_FLAGS = Object.fromEntries(
  ALL_FLAGS.map((flag) => [
    toCamelCase(flag),
    FLAG_DEFINITIONS[flag].kind === FlagKind.Switch
      ? { type: 'boolean' as const }
      : // Multiple, because meow throws if a single-value flag is repeated; parseFlagValue reports it.
        { type: 'string' as const, isMultiple: true as const },
  ]),
);

const KNOWN_FLAGS = new Set(ALL_FLAGS.map((flag) => `--${flag}`));
const SECRET_FLAGS = new Set([Flag.Token, Flag.TeamKey].map((flag) => `--${flag}`));

const parseWithMeow = (argv: readonly string[]): UncheckedCommandLine => {
  const { input, flags } = meow('', {
    importMeta: import.meta,
    argv: attachSecrets(argv, SECRET_FLAGS, KNOWN_FLAGS),
    pkg: { name: 'jujubelanding', bin: 'jujubelanding' },
    flags: MEOW_FLAGS,
    // Meow would print the text and exit the process.
    autoHelp: false,
    autoVersion: false,
    allowUnknownFlags: true,
  });
  return { input: input.map(String), flags };
};

const formatFlag = (name: string): string =>
  name.length === 1
    ? `-${name}`
    : `--${name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;

const isSet = (value: unknown): boolean =>
  value !== false && value !== undefined && [value].flat().length > 0;

const resolveFlag = (name: string, accepted: readonly Flag[]): Result<Flag, string> => {
  const flag = FLAGS_BY_CAMEL_CASE.get(name);
  if (flag !== undefined && accepted.includes(flag)) return Ok(flag);
  const allowed = accepted.map((other) => `--${other}`).join(', ');
  return Err(`${formatFlag(name)}: unknown flag for this command; allowed: ${allowed}`);
};

const parseFlagValue = (flag: Flag, value: unknown): Result<[Flag, string], string> => {
  const { kind, placeholder = '' } = FLAG_DEFINITIONS[flag];
  const values = [value].flat();
  if (values.length > 1 && kind !== FlagKind.List) {
    return Err(`--${flag}: given ${values.length} times; allowed: once`);
  }
  const isValid = values.every((text) => typeof text === 'string' && text !== '');
  return isValid
    ? Ok([flag, values.join(',')])
    : Err(`--${flag}: no value; allowed: ${placeholder}`);
};

const parseFlags = (
  flags: Record<string, unknown>,
  accepted: readonly Flag[],
): [Arguments['values'], Set<Flag>, string[]] => {
  const givenFlags = Object.entries(flags).filter(([, value]) => isSet(value));
  const [resolvedFlags, unknownFlagErrors] = Result.partition(
    givenFlags.map(([name]) => resolveFlag(name, accepted)),
  );
  const isSwitch = (flag: Flag): boolean => FLAG_DEFINITIONS[flag].kind === FlagKind.Switch;
  const [values, valueErrors] = Result.partition(
    resolvedFlags
      .filter((flag) => !isSwitch(flag))
      .map((flag) => parseFlagValue(flag, flags[toCamelCase(flag)])),
  );
  return [
    Object.fromEntries(values),
    new Set(resolvedFlags.filter(isSwitch)),
    [...unknownFlagErrors, ...valueErrors],
  ];
};

/** Reads flags that are absent from their environment variables. */
const applyEnvironment = (values: Arguments['values'], environment: Environment): void => {
  for (const flag of ALL_FLAGS) {
    const { variable } = FLAG_DEFINITIONS[flag];
    const text = variable === undefined ? undefined : environment[variable];
    if (text !== undefined && text !== '') values[flag] ??= text;
  }
};

/** Finds the command whose name is the first two words or the first word. */
const findCommand = (
  words: readonly string[],
  commands: Readonly<Record<string, Command>>,
): [string | undefined, Command | undefined] => {
  const name = [2, 1]
    .map((count) => words.slice(0, count).join(' '))
    .find((candidate) => Object.hasOwn(commands, candidate));
  return name === undefined ? [undefined, undefined] : [name, commands[name]];
};

const checkPositionalArguments = (
  name: string | undefined,
  command: Command | undefined,
  words: readonly string[],
  commands: Readonly<Record<string, Command>>,
): string[] => {
  if (name === undefined || command === undefined) {
    const error =
      words.length === 0
        ? 'no command is given'
        : `${words.slice(0, 2).join(' ')}: unknown command`;
    return [`${error}; allowed: ${Object.keys(commands).join(', ')}`];
  }
  const givenCount = words.length - name.split(' ').length;
  const isRepeatable = command.positional.at(-1)?.endsWith('...') === true;
  const expectedCount = command.positional.length;
  if (givenCount === expectedCount || (isRepeatable && givenCount > expectedCount)) return [];
  const usage = ['jujubelanding', name, ...command.positional].join(' ');
  return [`${name}: arguments given: ${givenCount}; allowed: ${usage}`];
};

/** Parses a command line; returns all errors if it is invalid. */
export const parseCommandLine = (
  argv: readonly string[],
  environment: Environment,
  standardInput: Readable,
  commands: Readonly<Record<string, Command>>,
): Result<ParsedCommandLine, string[]> => {
  const { input, flags } = parseWithMeow(argv);
  const [name, command] = findCommand(input, commands);
  const [values, switches, errors] = parseFlags(flags, [
    ...(command?.flags ?? []),
    ...GLOBAL_FLAGS,
  ]);
  const needsCommand = !switches.has(Flag.Help) && !switches.has(Flag.Version);
  if (needsCommand) errors.push(...checkPositionalArguments(name, command, input, commands));
  if (errors.length > 0) return Err(errors);
  applyEnvironment(values, environment);
  const positional = name === undefined ? input : input.slice(name.split(' ').length);
  const entryVms = (values[Flag.EntryVm] ?? '').split(/[,\s]+/).filter((text) => text !== '');
  return Ok({
    ...(name === undefined ? {} : { name }),
    ...(command === undefined ? {} : { command }),
    args: { positional, values, switches, standardInput },
    entryVms,
  });
};
