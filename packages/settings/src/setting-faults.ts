/** Faults in settings and the report that lists them. */
import { SettingType } from './setting-definition.js';
import { getFlag, getVariable, SETTINGS, type SettingKey } from './settings-table.js';

/** Exit code of a program whose settings are invalid. */
export const EXIT_INVALID_SETTINGS = 2;

export enum SettingSource {
  Flag = 'flag',
  Variable = 'variable',
  Default = 'default',
}

export enum SettingFaultKind {
  Missing = 'missing',
  NotAllowed = 'not-allowed',
  Repeated = 'repeated',
  UnknownFlag = 'unknown-flag',
  UnexpectedArgument = 'unexpected-argument',
  /** Each of two settings is valid, but not both together. */
  Contradiction = 'contradiction',
}

export interface SettingFault {
  kind: SettingFaultKind;
  /** Flag and variable of the setting, or the unknown flag. */
  setting: string;
  /** Description of the problem; includes the value unless it is a secret. */
  problem: string;
  allowed: string;
}

/** Formats the name of a setting as its flag and variable. */
export const formatSettingName = (key: SettingKey): string =>
  `${getFlag(key)} (${getVariable(key)})`;

/** Formats a value for a report; for a secret, only its length is shown. */
export const formatValue = (key: SettingKey, value: string): string =>
  SETTINGS[key].type === SettingType.Secret
    ? `a secret of ${value.length} characters`
    : JSON.stringify(value);

const formatFault = ({ setting, problem, allowed }: SettingFault): string =>
  `  ${setting}: ${problem}\n    allowed: ${allowed}`;

/** Formats all faults as one report. */
export const formatFaults = (faults: readonly SettingFault[]): string => {
  const count = faults.length === 1 ? '1 invalid setting' : `${faults.length} invalid settings`;
  return [`${count}:`, ...faults.map(formatFault), ''].join('\n');
};
