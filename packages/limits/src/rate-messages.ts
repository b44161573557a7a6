/** Messages about the rates of teams. Teams are encoded as tuples, because a VM sends many of them. */
import type { TeamShare, UsageTotals } from './team-account.js';

export enum RateMessageKind {
  /** Usage of teams on one VM, to their owner. */
  Usage = 'usage',
  /** Shares of teams, from their owner to a VM. */
  Shares = 'shares',
}

/** Team, and totals of admitted, confirmed and refused requests. */
export type UsageEntry = [string, number, number, number];

/** Team, confirmed requests, admitted fraction, allowance, and its growth per second. */
export type ShareEntry = [string, number, number, number, number];

export interface UsageMessage {
  kind: RateMessageKind.Usage;
  from: string;
  /** Unique to each run of the sender; a number, because messages are sent for nearly each request. */
  run: number;
  sequence: number;
  /** True in a message to a substitute, because the owner does not answer. */
  isSubstitute?: boolean;
  /** Age of the run of the sender, if it knows of none that is older than the window. */
  youngMs?: number;
  /** True in a message of a VM that has just started; it is answered without shares. */
  isGreeting?: boolean;
  /** Percentages of the requests of the teams that the sender admits, in a young fleet. */
  percentages?: number[];
  /** Totals of the requests of the teams whose tokens were returned; absent if there are none. */
  returned?: number[];
  teams: UsageEntry[];
}

export interface SharesMessage {
  kind: RateMessageKind.Shares;
  from: string;
  /** Run of the receiver whose report is answered. */
  run?: number;
  /** As in usage. */
  youngMs?: number;
  teams: ShareEntry[];
}

export type RateMessage = UsageMessage | SharesMessage;

/** Teams of one message, so that it fits into a datagram with names of usual length. */
export const MAX_TEAMS_PER_MESSAGE = 20;

/** Returns a number with two decimals, as a 32-bit integer, which is shorter than a float. */
const encodeFraction = (value: number): number => Math.round(value * 100);

const decodeFraction = (value: number): number => value / 100;

/** Returns the field of a message for the age of the run of its sender. */
export const encodeAge = (youngMs: number | undefined): { youngMs?: number } =>
  youngMs === undefined ? {} : { youngMs };

export const encodeTotals = (
  team: string,
  { admitted, confirmed, refused }: UsageTotals,
): UsageEntry => [team, admitted, confirmed, refused];

export const decodeTotals = ([, admitted, confirmed, refused]: UsageEntry): UsageTotals => ({
  admitted,
  confirmed,
  refused,
});

/** Returns the field of a message for the returned tokens; the entries have a fixed length. */
export const encodeReturned = (totals: readonly UsageTotals[]): { returned?: number[] } => {
  const returned = totals.map((each) => each.returned ?? 0);
  return returned.some((count) => count > 0) ? { returned } : {};
};

export const encodeTeamShare = (team: string, share: TeamShare): ShareEntry => [
  team,
  share.confirmed,
  encodeFraction(share.fraction),
  encodeFraction(share.allowance),
  encodeFraction(share.allowancePerSecond),
];

export const decodeTeamShare = ([, confirmed, ...fractions]: ShareEntry): TeamShare => {
  const [fraction, allowance, allowancePerSecond] = fractions.map(decodeFraction);
  return {
    confirmed,
    fraction: fraction!,
    allowance: allowance!,
    allowancePerSecond: allowancePerSecond!,
  };
};
