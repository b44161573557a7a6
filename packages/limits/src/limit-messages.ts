/** Fields of limit messages, and their division into datagrams. */
import type { TeamShare, TeamUse } from '@jujubelanding/peer-protocol';
import type { Asked, Granted } from './grant-division.js';
import type { HolderReport } from './grant-holder.js';

/** Datagrams have at most 1,200 bytes; the rest is left for the tag and the codec's headers. */
export const MAX_PAYLOAD_BYTES = 1100;

/** Field names, kind and sequence of a request. */
const REQUEST_HEADER_BYTES = 70;

/** Seven integers of up to 5 bytes, and the headers of the list and of the name. */
const USE_BYTES = 7 * 5 + 1 + 3;

const MILLI = 1000;

const LARGEST = 2 ** 32 - 1;

/** Integers up to 32 bits have a compact encoding; larger limits are as good as none. */
const toInteger = (value: number): number => Math.min(LARGEST, Math.max(0, Math.round(value)));

export const encodeUse = (team: string, report: HolderReport): TeamUse => [
  team,
  toInteger(report.demandPerSecond * MILLI),
  toInteger(report.inFlight),
  toInteger(report.wantedInFlight),
  toInteger(report.admitted),
  toInteger(report.wantedTokens * MILLI),
  toInteger(report.heldPerSecond * MILLI),
  toInteger(report.heldConcurrency),
];

export const decodeUse = (
  [, demand, inFlight, wantedInFlight, admitted, wantedTokens, rate, concurrency]: TeamUse,
  sender: { entryVmId: string; bootId: string; sequence: number },
): Asked => ({
  ...sender,
  demandPerSecond: demand / MILLI,
  inFlight,
  wantedInFlight,
  admitted,
  wantedTokens: wantedTokens / MILLI,
  heldPerSecond: rate / MILLI,
  heldConcurrency: concurrency,
});

/** Rounds down, so that rounding does not add up to more than the limit. */
export const encodeShare = (granted: Granted): TeamShare => [
  toInteger(Math.floor(granted.requestsPerSecond * MILLI)),
  toInteger(granted.concurrency),
  toInteger(Math.floor(granted.advance * MILLI)),
];

export const decodeShare = ([rate, concurrency, advance]: TeamShare) => ({
  requestsPerSecond: rate / MILLI,
  concurrency,
  advance: advance / MILLI,
});

/** Divides entries into groups of which each fits into one datagram. */
export const splitBySize = <T>(
  entries: readonly T[],
  headerBytes: number,
  sizeOf: (entry: T) => number,
): T[][] => {
  const groups: T[][] = [];
  let left = 0;
  for (const entry of entries) {
    const size = sizeOf(entry);
    const last = groups.at(-1);
    if (last === undefined || size > left) {
      groups.push([entry]);
      left = MAX_PAYLOAD_BYTES - headerBytes - size;
    } else {
      last.push(entry);
      left -= size;
    }
  }
  return groups;
};

/** Divides the uses of one owner's teams into requests. */
export const splitUses = <T extends { team: string }>(
  uses: readonly T[],
  from: string,
  bootId: string,
): T[][] =>
  splitBySize(
    uses,
    REQUEST_HEADER_BYTES + Buffer.byteLength(from) + Buffer.byteLength(bootId),
    ({ team }) => Buffer.byteLength(team) + USE_BYTES,
  );
