/** Parses flags and arguments to typed values. */
import { parseAddress, parseDuration } from '@jujubelanding/settings';
import { RecordKind } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import type { Arguments } from './command.js';
import { Flag } from './flags.js';

/** Parses a non-negative integer. */
export const parseIntegerFlag = (
  args: Arguments,
  flag: Flag,
): Result<number | undefined, string> => {
  const text = args.values[flag];
  if (text === undefined) return ok(undefined);
  return /^\d{1,15}$/.test(text)
    ? ok(Number(text))
    : err(`--${flag}: ${JSON.stringify(text)} is not allowed; allowed: a whole number from 0`);
};

/** Parses a duration and returns it in milliseconds. */
export const parseDurationFlag = (
  args: Arguments,
  flag: Flag,
): Result<number | undefined, string> => {
  const text = args.values[flag];
  if (text === undefined) return ok(undefined);
  return parseDuration(text).mapErr(
    (error) => `--${flag}: ${JSON.stringify(text)} is not allowed; ${error}`,
  );
};

/** Validates the addresses of entry VMs and returns the errors. */
export const checkEntryVms = (entryVms: readonly string[]): string[] => {
  if (entryVms.length === 0) {
    return [`--${Flag.EntryVm} (JUJUBELANDING_ENTRY_VMS): missing; allowed: host:port, repeated`];
  }
  return entryVms
    .filter((text) => !parseAddress(text).isOk())
    .map(
      (text) =>
        `--${Flag.EntryVm}: ${JSON.stringify(text)} is not allowed; allowed: IPv4:port or [IPv6]:port`,
    );
};

const AUTHOR_PATTERN = /^[\x21-\x7e]{1,100}$/;

/** Validates the name of the operator that is stored as author. */
export const parseAuthor = ({ values }: Arguments): Result<string | undefined, string> => {
  const text = values[Flag.Operator];
  if (text === undefined || AUTHOR_PATTERN.test(text)) return ok(text);
  const allowed = '1 to 100 printable ASCII characters without spaces';
  return err(`--${Flag.Operator}: ${JSON.stringify(text)} is not allowed; allowed: ${allowed}`);
};

const RECORD_KINDS = Object.values(RecordKind);

export const parseRecordKind = (text: string | undefined): Result<RecordKind, string> => {
  const kind = RECORD_KINDS.find((candidate) => candidate === text);
  return kind === undefined
    ? err(`KIND: ${JSON.stringify(text)} is not allowed; allowed: ${RECORD_KINDS.join(', ')}`)
    : ok(kind);
};
