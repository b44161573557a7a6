/** Definitions of all settings, from which parsing, help text and documentation are derived. */
import type { EntryVmSettings } from '@jujubelanding/interfaces';
import {
  AddressUse,
  defineAddress,
  defineDuration,
  defineFolder,
  defineInteger,
  defineName,
  defineSecret,
  defineSelection,
  Presence,
  type SettingDefinition,
} from './setting-definition.js';

/** All settings of the daemon. */
export interface DaemonSettings extends EntryVmSettings {
  /** host:port */
  keyValueAddress: string;
  /** host:port */
  vmListAddress: string;
  /** host:port */
  weightStoreAddress: string;
  /** Absent on a VM without a disk. */
  dataFolder?: string;
  /** host:port; without it no metrics are sent. */
  statsdAddress?: string;
  /** Secret that authenticates calls and datagrams between entry VMs. */
  fleetKey: string;
  /** Memory of the machine in megabytes. */
  memoryMb: number;
  /** File descriptors that the process may have. */
  maxDescriptors: number;
  /** Time after which a response is closed of which its caller reads nothing. */
  unreadTimeoutMs: number;
  /** Log namespaces that are written. */
  logSelection: string;
}

/** Settings before the operator token is replaced with its checksum. */
export type RawSettings = Omit<DaemonSettings, 'operatorTokenHash'> & { operatorToken: string };

export type SettingKey = keyof RawSettings;

type SettingTable = { [K in SettingKey]-?: SettingDefinition<NonNullable<RawSettings[K]>> };

const SECOND_MS = 1000;
const HOUR_MS = 3600 * SECOND_MS;
const DAY_MS = 24 * HOUR_MS;

export const SETTINGS: SettingTable = {
  entryVmId: defineName({ description: 'Id of this entry VM, unique in the fleet.' }),
  availabilityZone: defineName({ description: 'Availability zone of this entry VM.' }),
  peerAddress: defineAddress(AddressUse.Listen, {
    description: 'Address for calls (TCP) and datagrams (UDP) from other entry VMs.',
  }),
  callerAddress: defineAddress(AddressUse.Listen, {
    description: 'Address for callers and operators.',
  }),
  keyValueAddress: defineAddress(AddressUse.Connect, {
    description: "Address of the platform's key-value service.",
  }),
  vmListAddress: defineAddress(AddressUse.Connect, {
    description: "Address of the platform's VM list.",
  }),
  weightStoreAddress: defineAddress(AddressUse.Connect, {
    description: "Address of the platform's weight store.",
  }),
  dataFolder: defineFolder({
    description: 'Folder for segments and records; set it only on VMs with a disk.',
  }),
  statsdAddress: defineAddress(AddressUse.Connect, {
    description: 'Address of a StatsD server for metrics.',
    presence: Presence.Optional,
  }),
  fleetKey: defineSecret({
    description: 'Key shared by all entry VMs; authenticates the traffic between them.',
  }),
  operatorToken: defineSecret({
    description: 'Token for administration; only its SHA-256 checksum is kept.',
  }),
  maxOnlineInFlight: defineInteger({
    description: 'Online requests that this VM handles at a time before it refuses more.',
    unit: 'requests',
    // The design load is about 310 streams per VM (8,300 requests/s of 15 s over 410 VMs).
    defaultValue: 2000,
    minimum: 1,
    maximum: 100_000,
  }),
  memoryMb: defineInteger({
    description: 'Memory of the machine; a fifth of it is for callers.',
    unit: 'MB',
    // The smallest machine. With less, the largest response of a service would not fit.
    defaultValue: 210,
    minimum: 210,
    maximum: 1_000_000,
  }),
  maxDescriptors: defineInteger({
    description: 'File descriptors that the process may have; they bound its connections.',
    unit: 'descriptors',
    defaultValue: 2048,
    minimum: 512,
    maximum: 1_000_000,
  }),
  unreadTimeoutMs: defineDuration({
    description: 'Time after which a response is closed of which its caller reads nothing.',
    defaultValue: 10 * SECOND_MS,
    minimum: SECOND_MS,
    maximum: HOUR_MS,
  }),
  entryPointLifetimeMs: defineDuration({
    description: 'Time for which callers may keep an entry-point answer.',
    // The upper bound limits the duration of a planned stop, which lasts at least this long.
    defaultValue: 30 * SECOND_MS,
    minimum: SECOND_MS,
    maximum: 600 * SECOND_MS,
  }),
  segmentCopies: defineInteger({
    description: 'Copies of each segment, each on another VM with a disk.',
    unit: 'copies',
    // At least two, because with one copy the loss of a VM would lose accepted batch items.
    defaultValue: 2,
    minimum: 2,
    maximum: 5,
  }),
  resultRetentionMs: defineDuration({
    description: 'Time for which results of an ended batch job stay readable.',
    defaultValue: 7 * DAY_MS,
    minimum: HOUR_MS,
    maximum: 90 * DAY_MS,
  }),
  claimRetentionMs: defineDuration({
    description: 'Time for which a claimed idempotency key is remembered.',
    defaultValue: DAY_MS,
    minimum: HOUR_MS,
    maximum: 7 * DAY_MS,
  }),
  logSelection: defineSelection('jujubelanding:*', {
    description: 'Parts of the system whose log lines are written.',
  }),
};

export const SETTING_KEYS = Object.keys(SETTINGS) as SettingKey[];

// Duration values include their unit, so the flag and variable names omit it.
const toKebabCase = (key: string): string =>
  key.replace(/Ms$/, '').replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);

/** Returns the flag of a setting, for example `--peer-address`. */
export const getFlag = (key: SettingKey): string => `--${toKebabCase(key)}`;

/** Returns the environment variable of a setting, for example `JUJUBELANDING_PEER_ADDRESS`. */
export const getVariable = (key: SettingKey): string =>
  `JUJUBELANDING_${toKebabCase(key).replaceAll('-', '_').toUpperCase()}`;
