/** Checks between two settings; a check runs only if both settings are valid. */
import { parseAddress } from './address.js';
import {
  formatSettingName,
  type SettingFault,
  SettingFaultKind,
  formatValue,
} from './setting-faults.js';
import type { RawSettings, SettingKey } from './settings-table.js';

interface CrossCheck {
  keys: readonly [SettingKey, SettingKey];
  isAllowed: (settings: Partial<RawSettings>) => boolean;
  allowed: string;
}

const getPort = (address: string): number =>
  parseAddress(address).match(
    ({ port }) => port,
    () => 0,
  );

const requireDifferent =
  (first: SettingKey, second: SettingKey) =>
  (settings: Partial<RawSettings>): boolean =>
    settings[first] !== settings[second];

const REMOTE_KEYS: SettingKey[] = [
  'keyValueAddress',
  'vmListAddress',
  'weightStoreAddress',
  'statsdAddress',
];

// A daemon that connects to itself instead of a platform service would fail only after its start.
const REMOTE_CHECKS: CrossCheck[] = (['peerAddress', 'callerAddress'] as const).flatMap((local) =>
  REMOTE_KEYS.map((remote) => ({
    keys: [local, remote] as const,
    isAllowed: requireDifferent(local, remote),
    allowed: 'two different addresses',
  })),
);

const CROSS_CHECKS: CrossCheck[] = [
  {
    keys: ['peerAddress', 'callerAddress'],
    isAllowed: ({ peerAddress = '', callerAddress = '' }) =>
      getPort(peerAddress) === 0 || getPort(peerAddress) !== getPort(callerAddress),
    allowed: 'two different ports, or port 0',
  },
  ...REMOTE_CHECKS,
  {
    // An operator token must not allow its holder to authenticate as an entry VM.
    keys: ['fleetKey', 'operatorToken'],
    isAllowed: requireDifferent('fleetKey', 'operatorToken'),
    allowed: 'two different secrets',
  },
];

const createContradictionFault = (
  { keys: [first, second], allowed }: CrossCheck,
  settings: Partial<RawSettings>,
): SettingFault => ({
  kind: SettingFaultKind.Contradiction,
  setting: `${formatSettingName(first)} and ${formatSettingName(second)}`,
  problem: `${formatValue(first, String(settings[first]))} and ${formatValue(
    second,
    String(settings[second]),
  )} do not go together`,
  allowed,
});

/** Runs all checks whose settings are both valid. */
export const runCrossChecks = (settings: Partial<RawSettings>): SettingFault[] =>
  CROSS_CHECKS.filter(
    ({ keys, isAllowed }) =>
      keys.every((key) => settings[key] !== undefined) && !isAllowed(settings),
  ).map((check) => createContradictionFault(check, settings));
