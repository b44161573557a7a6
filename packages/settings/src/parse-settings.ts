/** Parses the settings of the daemon from flags and environment variables. */
import { computeChecksum } from '@jujubelanding/random';
import { Err, Ok, Result } from 'ts-results-es';
import { runCrossChecks } from './cross-checks.js';
import { Presence } from './setting-definition.js';
import {
  formatSettingName,
  type SettingFault,
  SettingFaultKind,
  SettingSource,
  formatValue,
} from './setting-faults.js';
import { type ParsedFlags, parseFlags } from './flags.js';
import {
  type DaemonSettings,
  getVariable,
  type RawSettings,
  SETTING_KEYS,
  type SettingKey,
  SETTINGS,
} from './settings-table.js';

export type Environment = Readonly<Record<string, string | undefined>>;

interface RawValue {
  source: SettingSource;
  text: string;
}

/** A valid setting; the value is absent if an optional setting is not given. */
interface CheckedSetting {
  key: SettingKey;
  value?: RawSettings[SettingKey];
}

const createFault = (key: SettingKey, kind: SettingFaultKind, problem: string): SettingFault => ({
  kind,
  setting: formatSettingName(key),
  problem,
  allowed: SETTINGS[key].allowed,
});

const readFlag = (key: SettingKey, values: readonly unknown[]): Result<RawValue, SettingFault> => {
  if (values.length > 1) {
    return Err(createFault(key, SettingFaultKind.Repeated, `given ${values.length} times`));
  }
  const [text] = values;
  if (typeof text === 'string' && text !== '') return Ok({ source: SettingSource.Flag, text });
  return Err(createFault(key, SettingFaultKind.Missing, 'the flag has no value'));
};

const readValue = (
  key: SettingKey,
  flags: ParsedFlags,
  environment: Environment,
): Result<RawValue | undefined, SettingFault> => {
  const values = flags.values[key] ?? [];
  if (values.length > 0) return readFlag(key, values);
  // An empty variable counts as not set, because some shells cannot unset a variable.
  const text = environment[getVariable(key)];
  if (text !== undefined && text !== '') return Ok({ source: SettingSource.Variable, text });
  const { defaultText, presence } = SETTINGS[key];
  if (defaultText !== undefined) return Ok({ source: SettingSource.Default, text: defaultText });
  if (presence === Presence.Optional) return Ok(undefined);
  return Err(createFault(key, SettingFaultKind.Missing, 'missing'));
};

const checkValue = (key: SettingKey, given?: RawValue): Result<CheckedSetting, SettingFault> => {
  if (given === undefined) return Ok({ key });
  const parsed = SETTINGS[key].schema.safeParse(given.text);
  if (parsed.success) return Ok({ key, value: parsed.data });
  const problem = `${formatValue(key, given.text)} from the ${given.source} is not allowed`;
  return Err(createFault(key, SettingFaultKind.NotAllowed, problem));
};

const toDaemonSettings = ({ operatorToken, ...rest }: RawSettings): DaemonSettings => ({
  ...rest,
  operatorTokenHash: computeChecksum(operatorToken),
});

/**
 * Returns either all settings or all faults. A flag takes precedence over its variable. Never prints or
 * exits.
 */
export const parseSettings = (
  argv: readonly string[],
  environment: Environment,
): Result<DaemonSettings, SettingFault[]> => {
  const flags = parseFlags(argv);
  const [checked, invalid] = Result.partition(
    SETTING_KEYS.map((key) =>
      readValue(key, flags, environment).andThen((given) => checkValue(key, given)),
    ),
  );
  const settings: Partial<RawSettings> = Object.fromEntries(
    checked.filter(({ value }) => value !== undefined).map(({ key, value }) => [key, value]),
  );
  const faults = [...flags.faults, ...invalid, ...runCrossChecks(settings)];
  // If there are no faults, every required setting is present.
  return faults.length > 0 ? Err(faults) : Ok(toDaemonSettings(settings as RawSettings));
};
