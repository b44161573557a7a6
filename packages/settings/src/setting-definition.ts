/** Definition of a setting, and builders for each type of setting. */
import { isAbsolute } from 'node:path';
import * as z from 'zod';
import { isWildcard, MAX_PORT, parseAddress } from './address.js';
import { DURATION_UNITS, formatDuration, parseDuration } from './duration.js';

export enum SettingType {
  Address = 'address',
  Duration = 'duration',
  Folder = 'folder',
  Integer = 'integer',
  Name = 'name',
  Selection = 'selection',
  Secret = 'secret',
}

export enum Presence {
  Required = 'required',
  Optional = 'optional',
  /** Has a default. */
  Defaulted = 'defaulted',
}

export interface SettingDefinition<T> {
  type: SettingType;
  presence: Presence;
  /** Unit of the value, if it has one. */
  unit?: string;
  /** Default in the form in which an operator would write it. */
  defaultText?: string;
  /** Description of the allowed values. */
  allowed: string;
  description: string;
  schema: z.ZodType<T, string>;
}

interface CommonOptions {
  description: string;
  presence?: Presence.Required | Presence.Optional;
}

interface NumberOptions {
  description: string;
  unit?: string;
  defaultValue: number;
  minimum: number;
  maximum: number;
}

/** What an address is used for. */
export enum AddressUse {
  /** The daemon listens on the address and announces it to other VMs. */
  Listen = 'listen',
  Connect = 'connect',
}

const MIN_SECRET_CHARACTERS = 16;
const MAX_SECRET_CHARACTERS = 512;

const ALLOWED_ADDRESS: Record<AddressUse, string> = {
  [AddressUse.Listen]: `IPv4:port or [IPv6]:port, not a wildcard address; port 0 (any free port) to ${MAX_PORT}`,
  [AddressUse.Connect]: `IPv4:port or [IPv6]:port, not a wildcard address; port 1 to ${MAX_PORT}`,
};

const isAllowedAddress = (text: string, use: AddressUse): boolean =>
  parseAddress(text)
    .map((address) => !isWildcard(address) && (use === AddressUse.Listen || address.port > 0))
    .unwrapOr(false);

export const defineAddress = (
  use: AddressUse,
  { description, presence = Presence.Required }: CommonOptions,
): SettingDefinition<string> => ({
  type: SettingType.Address,
  presence,
  allowed: ALLOWED_ADDRESS[use],
  description,
  schema: z.string().refine((text) => isAllowedAddress(text, use)),
});

export const defineInteger = (options: NumberOptions): SettingDefinition<number> => ({
  type: SettingType.Integer,
  presence: Presence.Defaulted,
  ...(options.unit === undefined ? {} : { unit: options.unit }),
  defaultText: String(options.defaultValue),
  allowed: `whole number from ${options.minimum} to ${options.maximum}`,
  description: options.description,
  schema: z
    .string()
    .regex(/^\d{1,15}$/)
    .transform(Number)
    .pipe(z.number().min(options.minimum).max(options.maximum)),
});

/** Defines a duration; its value and bounds are in milliseconds. */
export const defineDuration = (options: NumberOptions): SettingDefinition<number> => ({
  type: SettingType.Duration,
  presence: Presence.Defaulted,
  unit: DURATION_UNITS,
  defaultText: formatDuration(options.defaultValue),
  allowed: `${formatDuration(options.minimum)} to ${formatDuration(options.maximum)}, with unit`,
  description: options.description,
  schema: z
    .string()
    .transform((text) => parseDuration(text).unwrapOr(Number.NaN))
    .pipe(z.number().min(options.minimum).max(options.maximum)),
});

export const defineName = ({ description }: CommonOptions): SettingDefinition<string> => ({
  type: SettingType.Name,
  presence: Presence.Required,
  allowed: '1 to 63 lower-case letters, digits, "-" and "."; first and last a letter or digit',
  description,
  schema: z.string().regex(/^(?=.{1,63}$)[a-z0-9](?:[a-z0-9.-]*[a-z0-9])?$/),
});

export const defineSecret = ({ description }: CommonOptions): SettingDefinition<string> => ({
  type: SettingType.Secret,
  presence: Presence.Required,
  allowed: `${MIN_SECRET_CHARACTERS} to ${MAX_SECRET_CHARACTERS} printable ASCII characters without spaces`,
  description,
  schema: z
    .string()
    .min(MIN_SECRET_CHARACTERS)
    .max(MAX_SECRET_CHARACTERS)
    .regex(/^[\x21-\x7e]+$/),
});

export const defineFolder = ({ description }: CommonOptions): SettingDefinition<string> => ({
  type: SettingType.Folder,
  presence: Presence.Optional,
  allowed: 'absolute path other than the root folder',
  description,
  schema: z.string().refine((text) => isAbsolute(text) && text !== '/' && !text.includes('\0')),
});

export const defineSelection = (
  defaultText: string,
  { description }: CommonOptions,
): SettingDefinition<string> => ({
  type: SettingType.Selection,
  presence: Presence.Defaulted,
  defaultText,
  allowed: 'namespaces separated by commas, with "*" as wildcard and "-" to exclude',
  description,
  schema: z.string().regex(/^-?[\w:*.-]+(?:,-?[\w:*.-]+)*$/),
});
