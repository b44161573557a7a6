/** Decision whether a failed attempt is followed by another one; pure. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { Idempotency } from '@jujubelanding/types';

/** Attempts of one request, the first included. */
export const MAX_ATTEMPTS = 5;

const BASE_BACKOFF_MS = 10;

const MAX_BACKOFF_MS = 500;

export enum RetryReason {
  Retry = 'retry',
  /** The fault is about the request itself, or the caller has gone. */
  Final = 'final',
  NotIdempotent = 'not-idempotent',
  Attempts = 'attempts',
  Deadline = 'deadline',
  Budget = 'budget',
}

/** What a fault of an attempt says about the worker and about another attempt. */
export enum FaultMeaning {
  /** Another worker may succeed; counts against this one. */
  WorkerFault = 'worker-fault',
  /** The worker is busy or lacks the model; another one may succeed. */
  Elsewhere = 'elsewhere',
  /** Another attempt would fail in the same way. */
  Request = 'request',
}

const MEANING_BY_CODE: Record<FaultCode, FaultMeaning> = {
  [FaultCode.InvalidInput]: FaultMeaning.Request,
  [FaultCode.Unauthorized]: FaultMeaning.Request,
  [FaultCode.NotFound]: FaultMeaning.Elsewhere,
  [FaultCode.Conflict]: FaultMeaning.Request,
  [FaultCode.KeyReused]: FaultMeaning.Request,
  [FaultCode.AlreadyClaimed]: FaultMeaning.Request,
  [FaultCode.RateLimited]: FaultMeaning.Elsewhere,
  [FaultCode.TooLarge]: FaultMeaning.Request,
  [FaultCode.Overloaded]: FaultMeaning.Elsewhere,
  [FaultCode.Unavailable]: FaultMeaning.WorkerFault,
  [FaultCode.Timeout]: FaultMeaning.WorkerFault,
  [FaultCode.StaleFence]: FaultMeaning.Elsewhere,
  [FaultCode.NotOwner]: FaultMeaning.Elsewhere,
  [FaultCode.Cancelled]: FaultMeaning.Elsewhere,
  [FaultCode.Interrupted]: FaultMeaning.WorkerFault,
  [FaultCode.InvalidStream]: FaultMeaning.WorkerFault,
  [FaultCode.Corrupt]: FaultMeaning.WorkerFault,
  [FaultCode.DiskFull]: FaultMeaning.Request,
  [FaultCode.Upstream]: FaultMeaning.WorkerFault,
  [FaultCode.Internal]: FaultMeaning.WorkerFault,
};

export const interpretFault = (fault: Fault): FaultMeaning => MEANING_BY_CODE[fault.code];

export interface AttemptState {
  fault: Fault;
  idempotency: Idempotency;
  /** Attempts made, the failed one included. */
  attempts: number;
  backoffMs: number;
  now: number;
  deadline: number;
  /** Takes from the retry budget; called last, so that only real retries count. */
  takeRetry: () => boolean;
}

export const decideRetry = (state: AttemptState): RetryReason => {
  const { fault } = state;
  if (interpretFault(fault) === FaultMeaning.Request) return RetryReason.Final;
  const mayHaveRun = fault.outcome !== Outcome.NotRun;
  if (mayHaveRun && state.idempotency === Idempotency.NonIdempotent) {
    return RetryReason.NotIdempotent;
  }
  if (state.attempts >= MAX_ATTEMPTS) return RetryReason.Attempts;
  if (state.now + state.backoffMs >= state.deadline) return RetryReason.Deadline;
  return state.takeRetry() ? RetryReason.Retry : RetryReason.Budget;
};

/** Pause before the next attempt: doubled each time, with jitter in its upper half. */
export const computeBackoff = (attempts: number, random: number): number => {
  const ceiling = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** (attempts - 1));
  return Math.round(ceiling * (0.5 + random / 2));
};

const RANK: Record<Outcome, number> = {
  [Outcome.NotRun]: 0,
  [Outcome.Failed]: 1,
  [Outcome.OutcomeUnknown]: 2,
};

/** Outcome over several attempts: `not-run` only if none of them ran. */
export const combineOutcomes = (a: Outcome, b: Outcome): Outcome => (RANK[a] >= RANK[b] ? a : b);
