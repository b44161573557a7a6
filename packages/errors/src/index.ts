/** Fault type with outcome, step and peer, and its conversion to problem details (RFC 9457). */
import type { Result } from 'neverthrow';

/** What is known about the effect of a request that did not succeed. */
export enum Outcome {
  /** No byte reached a backend server, or the server reported that the request did not run. */
  NotRun = 'not-run',
  /** A conclusive response reported a failure. */
  Failed = 'failed',
  /** The request was sent, but there was no conclusive response. */
  OutcomeUnknown = 'outcome-unknown',
}

export enum FaultCode {
  InvalidInput = 'invalid-input',
  Unauthorized = 'unauthorized',
  NotFound = 'not-found',
  Conflict = 'conflict',
  KeyReused = 'idempotency-key-reused',
  AlreadyClaimed = 'already-claimed',
  RateLimited = 'rate-limited',
  TooLarge = 'too-large',
  Overloaded = 'overloaded',
  Unavailable = 'unavailable',
  Timeout = 'timeout',
  StaleFence = 'stale-fence',
  NotOwner = 'not-owner',
  Cancelled = 'cancelled',
  Interrupted = 'stream-interrupted',
  InvalidStream = 'invalid-stream',
  Corrupt = 'corrupt',
  DiskFull = 'disk-full',
  Upstream = 'upstream-error',
  Internal = 'internal',
}

/** An expected error, with the step and the peer at which it occurred. */
export interface Fault {
  code: FaultCode;
  outcome: Outcome;
  step: string;
  peer?: string;
  message: string;
  /** Delay after which a retry may succeed. */
  retryAfterMs?: number;
  /** Further details, such as field, value and allowed values of rejected input. */
  details?: Record<string, string>;
}

/** Asynchronous result of a call that may fail with a fault. */
export type Reply<T> = Promise<Result<T, Fault>>;

const STATUS_BY_CODE: Record<FaultCode, number> = {
  [FaultCode.InvalidInput]: 400,
  [FaultCode.Unauthorized]: 401,
  [FaultCode.NotFound]: 404,
  [FaultCode.Conflict]: 409,
  [FaultCode.KeyReused]: 409,
  [FaultCode.AlreadyClaimed]: 409,
  [FaultCode.RateLimited]: 429,
  [FaultCode.TooLarge]: 413,
  [FaultCode.Overloaded]: 503,
  [FaultCode.Unavailable]: 503,
  [FaultCode.Timeout]: 504,
  [FaultCode.StaleFence]: 409,
  [FaultCode.NotOwner]: 503,
  [FaultCode.Cancelled]: 409,
  [FaultCode.Interrupted]: 502,
  [FaultCode.InvalidStream]: 502,
  [FaultCode.Corrupt]: 500,
  [FaultCode.DiskFull]: 507,
  [FaultCode.Upstream]: 502,
  [FaultCode.Internal]: 500,
};

/** Problem details as sent to callers, with media type application/problem+json. */
export interface ProblemDetails {
  type: string;
  title: string;
  status: number;
  detail: string;
  outcome: Outcome;
  step: string;
  peer?: string;
  requestId?: string;
  retryAfterMs?: number;
  details?: Record<string, string>;
}

/** Returns the HTTP status of a fault. */
export const getHttpStatus = (fault: Fault): number => STATUS_BY_CODE[fault.code];

/** Converts a fault to problem details. */
export const toProblemDetails = (fault: Fault, requestId?: string): ProblemDetails => ({
  type: `urn:jujubelanding:problem:${fault.code}`,
  title: fault.code.replaceAll('-', ' '),
  status: getHttpStatus(fault),
  detail: fault.message,
  outcome: fault.outcome,
  step: fault.step,
  ...(fault.peer === undefined ? {} : { peer: fault.peer }),
  ...(requestId === undefined ? {} : { requestId }),
  ...(fault.retryAfterMs === undefined ? {} : { retryAfterMs: fault.retryAfterMs }),
  ...(fault.details === undefined ? {} : { details: fault.details }),
});

/** Returns the message of a thrown value. */
export const getErrorMessage = (thrown: unknown): string =>
  thrown instanceof Error ? thrown.message : String(thrown);
