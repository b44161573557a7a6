/** Encoding of claims and layout of their keys in the key-value service. */
import { getErrorMessage, FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { Result } from 'neverthrow';
import * as z from 'zod';

const MS_PER_HOUR = 3_600_000;

/**
 * Size of a page from which new claims go to a new page. Every commit rewrites the whole page, and a new
 * page costs two extra writes, which this size amortizes over about 230 claims.
 */
export const MAX_CLAIM_VALUE_BYTES = 32 * 1024;

/** A recorded claim. */
export interface ClaimEntry {
  claimId: string;
  digest: string;
  /** Identifies the only call to which the claim may be granted. */
  token: string;
  /** Epoch milliseconds. */
  at: number;
}

/** Claims stored under one key; no claims are added to a closed page. */
export interface ClaimPage {
  fence: number;
  writeId: string;
  closed: boolean;
  claims: ClaimEntry[];
}

/** Names the page for new claims; each new owner rewrites it before its first claim. */
export interface ClaimHead {
  fence: number;
  writeId: string;
  key: string;
}

const pageSchema = z.object({
  fence: z.number(),
  writeId: z.string(),
  closed: z.boolean(),
  claims: z.array(z.tuple([z.string(), z.string(), z.string(), z.number()])),
});

const headSchema = z.object({ fence: z.number(), writeId: z.string(), key: z.string() });

export const claimPrefix = (shard: number): string => `claims/${shard}/`;

export const headKey = (shard: number): string => `${claimPrefix(shard)}head`;

export const hourOf = (wallClockMs: number): number => Math.floor(wallClockMs / MS_PER_HOUR);

/** Returns the key of a page; `part` numbers the pages of the same hour. */
export const pageKey = (shard: number, hour: number, part: number): string =>
  `${claimPrefix(shard)}${hour}${part === 0 ? '' : `.${part}`}`;

/** Returns hour and part of a page key, or undefined for the head key. */
export const parsePageKey = (key: string): { hour: number; part: number } | undefined => {
  const match = /\/(\d+)(?:\.(\d+))?$/.exec(key);
  return match === null ? undefined : { hour: Number(match[1]), part: Number(match[2] ?? 0) };
};

/** Returns the key of the next page: the current hour, or the next part of the same hour. */
export const nextPageKey = (shard: number, key: string, wallClockMs: number): string => {
  const hour = hourOf(wallClockMs);
  const current = parsePageKey(key);
  if (current === undefined || current.hour < hour) return pageKey(shard, hour, 0);
  return pageKey(shard, current.hour, current.part + 1);
};

/** True if all claims of a page are older than the retention time. */
export const isExpiredKey = (key: string, retentionMs: number, wallClockMs: number): boolean => {
  const page = parsePageKey(key);
  return page !== undefined && (page.hour + 1) * MS_PER_HOUR + retentionMs < wallClockMs;
};

export const encodePage = (page: ClaimPage): string =>
  JSON.stringify({
    ...page,
    claims: page.claims.map(({ claimId, digest, token, at }) => [claimId, digest, token, at]),
  });

const createCorruptFault = (thrown: unknown): Fault => ({
  code: FaultCode.Corrupt,
  outcome: Outcome.NotRun,
  step: 'claim',
  message: `cannot decode stored claims: ${getErrorMessage(thrown)}`,
});

const parsePage = (value: string): ClaimPage => {
  const page = pageSchema.parse(JSON.parse(value));
  return {
    ...page,
    claims: page.claims.map(([claimId, digest, token, at]) => ({ claimId, digest, token, at })),
  };
};

export const decodePage = Result.fromThrowable(parsePage, createCorruptFault);

export const encodeHead = (head: ClaimHead): string => JSON.stringify(head);

export const decodeHead = Result.fromThrowable(
  (value: string): ClaimHead => headSchema.parse(JSON.parse(value)),
  createCorruptFault,
);
