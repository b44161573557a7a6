/** Encoding of limit messages and their division into datagrams. */
import type { TeamShare, TeamUsage } from '@jujubelanding/peer-protocol';
import type { ShareRequest, ShareGrant } from './grant-division.js';
import type { UsageReport } from './grant-holder.js';

/** Datagrams have at most 1,200 bytes; the rest is for the authentication tag and codec headers. */
export const MAX_PAYLOAD_BYTES = 1100;

/** Encoded size of a request's field names, kind and sequence. */
const REQUEST_HEADER_BYTES = 70;

/** Seven integers of up to 5 bytes each, plus the headers of the list and of the team name. */
const USAGE_BYTES = 7 * 5 + 1 + 3;

const MILLIS_PER_UNIT = 1000;

const MAX_UINT32 = 2 ** 32 - 1;

/** 32-bit integers have a compact encoding; larger limits are capped and equivalent to no limit. */
const toUint32 = (value: number): number => Math.min(MAX_UINT32, Math.max(0, Math.round(value)));

export const encodeUsage = (team: string, report: UsageReport): TeamUsage => [
  team,
  toUint32(report.demandPerSecond * MILLIS_PER_UNIT),
  toUint32(report.inFlight),
  toUint32(report.wantedInFlight),
  toUint32(report.admitted),
  toUint32(report.wantedTokens * MILLIS_PER_UNIT),
  toUint32(report.heldPerSecond * MILLIS_PER_UNIT),
  toUint32(report.heldConcurrency),
];

export const decodeUsage = (
  [, demand, inFlight, wantedInFlight, admitted, wantedTokens, rate, concurrency]: TeamUsage,
  sender: { entryVmId: string; bootId: string; sequence: number },
): ShareRequest => ({
  ...sender,
  demandPerSecond: demand / MILLIS_PER_UNIT,
  inFlight,
  wantedInFlight,
  admitted,
  wantedTokens: wantedTokens / MILLIS_PER_UNIT,
  heldPerSecond: rate / MILLIS_PER_UNIT,
  heldConcurrency: concurrency,
});

/** Rounds down, so that the sum of the rounded shares does not exceed the limit. */
export const encodeShare = (grant: ShareGrant): TeamShare => [
  toUint32(Math.floor(grant.requestsPerSecond * MILLIS_PER_UNIT)),
  toUint32(grant.concurrency),
  toUint32(Math.floor(grant.advance * MILLIS_PER_UNIT)),
];

export const decodeShare = ([rate, concurrency, advance]: TeamShare) => ({
  requestsPerSecond: rate / MILLIS_PER_UNIT,
  concurrency,
  advance: advance / MILLIS_PER_UNIT,
});

/** Divides entries into groups that each fit into one datagram. */
export const splitBySize = <T>(
  entries: readonly T[],
  headerBytes: number,
  sizeOf: (entry: T) => number,
): T[][] => {
  const groups: T[][] = [];
  let remainingBytes = 0;
  for (const entry of entries) {
    const size = sizeOf(entry);
    const last = groups.at(-1);
    if (last === undefined || size > remainingBytes) {
      groups.push([entry]);
      remainingBytes = MAX_PAYLOAD_BYTES - headerBytes - size;
    } else {
      last.push(entry);
      remainingBytes -= size;
    }
  }
  return groups;
};

/** Divides the usage entries for one owner into requests that fit into a datagram. */
export const splitUsages = <T extends { team: string }>(
  usages: readonly T[],
  from: string,
  bootId: string,
): T[][] =>
  splitBySize(
    usages,
    REQUEST_HEADER_BYTES + Buffer.byteLength(from) + Buffer.byteLength(bootId),
    ({ team }) => Buffer.byteLength(team) + USAGE_BYTES,
  );
