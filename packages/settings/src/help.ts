/** Help text and documentation generated from the settings table. */
import { Presence, type SettingDefinition } from './setting-definition.js';
import { getFlag, getVariable, SETTING_KEYS, type SettingKey, SETTINGS } from './settings-table.js';

const describeDefault = ({ presence, defaultText }: SettingDefinition<unknown>): string => {
  if (defaultText !== undefined) return `default ${defaultText}`;
  return presence === Presence.Optional ? 'optional' : 'required';
};

const describeSetting = (key: SettingKey): string => {
  const definition: SettingDefinition<unknown> = SETTINGS[key];
  const unit = definition.unit === undefined ? '' : `, unit ${definition.unit}`;
  return [
    `  ${getFlag(key)} <${definition.type}>`,
    `      ${definition.description}`,
    `      ${describeDefault(definition)}${unit}; ${getVariable(key)}`,
    `      allowed: ${definition.allowed}`,
  ].join('\n');
};

/** Returns the help text of the daemon. */
export const createHelp = (): string =>
  [
    'Usage: jujubelandingd [flags]',
    '',
    'Each setting is a flag or an environment variable; the flag takes precedence.',
    'Prefer variables for secrets, since other processes can read the command line.',
    '',
    ...SETTING_KEYS.map(describeSetting),
    '  --help',
    '      Shows this text.',
    '  --version',
    '      Shows the version.',
    '',
  ].join('\n');

const createRow = (cells: readonly string[]): string =>
  `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |`;

const COLUMNS = ['flag', 'variable', 'type', 'unit', 'default', 'allowed', 'description'];

/** Returns a Markdown table of all settings for the documentation. */
export const createMarkdownTable = (): string => {
  const rows = SETTING_KEYS.map((key) => {
    const definition: SettingDefinition<unknown> = SETTINGS[key];
    return createRow([
      `\`${getFlag(key)}\``,
      `\`${getVariable(key)}\``,
      definition.type,
      definition.unit ?? '',
      definition.defaultText ?? definition.presence,
      definition.allowed,
      definition.description,
    ]);
  });
  return [createRow(COLUMNS), createRow(COLUMNS.map(() => '---')), ...rows, ''].join('\n');
};
