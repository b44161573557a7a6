/** Command-line flags of the daemon, parsed with meow. */
import meow from 'meow';
import { SettingType } from './setting-definition.js';
import { type SettingFault, SettingFaultKind } from './setting-faults.js';
import { getFlag, SETTING_KEYS, type SettingKey, SETTINGS } from './settings-table.js';

/** Flags that are not settings. */
const OTHER_FLAGS = ['help', 'version'];

export interface ParsedFlags {
  /** Values of each setting, in the order given. */
  values: Partial<Record<SettingKey, unknown[]>>;
  other: string[];
  faults: SettingFault[];
}

const toCamelCase = (flag: string): string =>
  flag.replace(/^--/, '').replaceAll(/-([a-z])/g, (_, letter: string) => letter.toUpperCase());

const KEYS_BY_CAMEL_CASE = new Map(SETTING_KEYS.map((key) => [toCamelCase(getFlag(key)), key]));

const MEOW_FLAGS = Object.fromEntries([
  // Values are collected in lists, because meow throws if a flag with a single value is repeated.
  ...SETTING_KEYS.map((key) => [
    toCamelCase(getFlag(key)),
    { type: 'string' as const, isMultiple: true as const },
  ]),
  ...OTHER_FLAGS.map((flag) => [flag, { type: 'boolean' as const }]),
]);

const formatFlag = (name: string): string =>
  name.length === 1
    ? `-${name}`
    : `--${name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;

// The values of unknown flags and arguments are not shown, because a misspelled flag may carry a secret.
const createUnknownFlagFault = (name: string): SettingFault => ({
  kind: SettingFaultKind.UnknownFlag,
  setting: formatFlag(name),
  problem: 'unknown flag',
  allowed: [...SETTING_KEYS.map(getFlag), ...OTHER_FLAGS.map(formatFlag)].join(', '),
});

const createArgumentFault = (position: number): SettingFault => ({
  kind: SettingFaultKind.UnexpectedArgument,
  setting: `argument ${position}`,
  problem: 'unexpected argument',
  allowed: 'flags only, each followed by its value',
});

/**
 * Joins each secret flag with its value as `--flag=value`. Otherwise a secret that begins with "-" would
 * be parsed as unknown flags and shown in the report.
 */
export const attachSecrets = (
  argv: readonly string[],
  secretFlags: ReadonlySet<string>,
  knownFlags: ReadonlySet<string>,
): string[] =>
  argv.reduce<string[]>((joined, token) => {
    const previous = joined.at(-1) ?? '';
    if (secretFlags.has(previous) && !knownFlags.has(token)) {
      return [...joined.slice(0, -1), `${previous}=${token}`];
    }
    return [...joined, token];
  }, []);

const FLAGS = new Set(SETTING_KEYS.map(getFlag));
const SECRET_FLAGS = new Set(
  SETTING_KEYS.filter((key) => SETTINGS[key].type === SettingType.Secret).map(getFlag),
);

/** Parses the command line into values of settings, other flags and faults. */
export const parseFlags = (argv: readonly string[]): ParsedFlags => {
  const { flags, input } = meow('', {
    importMeta: import.meta,
    argv: attachSecrets(argv, SECRET_FLAGS, FLAGS),
    pkg: { name: 'jujubelandingd', bin: 'jujubelandingd' },
    flags: MEOW_FLAGS,
    // Prevents meow from printing and exiting.
    autoHelp: false,
    autoVersion: false,
    allowUnknownFlags: true,
  });
  const values: ParsedFlags['values'] = {};
  const other: string[] = [];
  const faults: SettingFault[] = [];
  for (const [name, value] of Object.entries(flags)) {
    const key = KEYS_BY_CAMEL_CASE.get(name);
    if (key !== undefined) values[key] = [value].flat();
    else if (!OTHER_FLAGS.includes(name)) faults.push(createUnknownFlagFault(name));
    else if (value === true) other.push(name);
  }
  faults.push(...input.map((_, index) => createArgumentFault(index + 1)));
  return { values, other, faults };
};

/** Returns whether `--help` is given, whatever the other flags are. */
export const isHelpRequested = (argv: readonly string[]): boolean =>
  parseFlags(argv).other.includes('help');

/** Returns whether `--version` is given, whatever the other flags are. */
export const isVersionRequested = (argv: readonly string[]): boolean =>
  parseFlags(argv).other.includes('version');
