/** Checks of settings against each other; each runs only when its settings are valid themselves. */
import { parseAddress } from './address.js';
import { nameSetting, type SettingFault, SettingFaultKind, showValue } from './faults.js';
import type { GivenSettings, SettingKey } from './table.js';

interface CrossCheck {
  keys: readonly [SettingKey, SettingKey];
  isAllowed: (settings: Partial<GivenSettings>) => boolean;
  allowed: string;
}

const portOf = (address: string): number =>
  parseAddress(address).match(
    ({ port }) => port,
    () => 0,
  );

const differ =
  (first: SettingKey, second: SettingKey) =>
  (settings: Partial<GivenSettings>): boolean =>
    settings[first] !== settings[second];

const REMOTE_KEYS: SettingKey[] = [
  'keyValueAddress',
  'vmListAddress',
  'weightStoreAddress',
  'statsdAddress',
];

// A daemon that talks to itself instead of the platform would fail only after its start.
const REMOTE_CHECKS: CrossCheck[] = (['peerAddress', 'callerAddress'] as const).flatMap((own) =>
  REMOTE_KEYS.map((remote) => ({
    keys: [own, remote] as const,
    isAllowed: differ(own, remote),
    allowed: 'two different addresses',
  })),
);

const CROSS_CHECKS: CrossCheck[] = [
  {
    keys: ['peerAddress', 'callerAddress'],
    isAllowed: ({ peerAddress = '', callerAddress = '' }) =>
      portOf(peerAddress) === 0 || portOf(peerAddress) !== portOf(callerAddress),
    allowed: 'two different ports, or port 0',
  },
  ...REMOTE_CHECKS,
  {
    // An operator token must not allow its holder to speak as an entry VM.
    keys: ['fleetKey', 'operatorToken'],
    isAllowed: differ('fleetKey', 'operatorToken'),
    allowed: 'two different secrets',
  },
];

const describeContradiction = (
  { keys: [first, second], allowed }: CrossCheck,
  settings: Partial<GivenSettings>,
): SettingFault => ({
  kind: SettingFaultKind.Contradiction,
  setting: `${nameSetting(first)} and ${nameSetting(second)}`,
  problem: `${showValue(first, String(settings[first]))} and ${showValue(
    second,
    String(settings[second]),
  )} do not go together`,
  allowed,
});

/** Checks all valid settings against each other. */
export const checkTogether = (settings: Partial<GivenSettings>): SettingFault[] =>
  CROSS_CHECKS.filter(
    ({ keys, isAllowed }) =>
      keys.every((key) => settings[key] !== undefined) && !isAllowed(settings),
  ).map((check) => describeContradiction(check, settings));
