/** Decides whether a failed attempt is retried; pure. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { Idempotency } from '@jujubelanding/types';

/** Maximum attempts per request, including the first. */
export const MAX_ATTEMPTS = 5;

/**
 * Losses of a request at crashes of workers after which it is not sent again. It may be what crashes them, so
 * whether to go on is left to the caller.
 */
export const MAX_LOSSES = 2;

const BASE_BACKOFF_MS = 10;

const MAX_BACKOFF_MS = 500;

export enum RetryDecision {
  Retry = 'retry',
  /** The fault is caused by the request itself, so a retry would fail too. */
  Final = 'final',
  NotIdempotent = 'not-idempotent',
  AttemptsExhausted = 'attempts',
  /** Workers crashed when they began to run the request. */
  LossesExhausted = 'losses',
  DeadlineExceeded = 'deadline',
  BudgetExhausted = 'budget',
}

/** Classes of faults by their cause and by whether another attempt can succeed. */
export enum FaultClass {
  /** Another worker may succeed; counts as a fault of this worker. */
  WorkerFault = 'worker-fault',
  /** The worker is busy or does not have the model; another one may succeed. */
  RetryElsewhere = 'elsewhere',
  /** The request is at fault; another attempt would fail in the same way. */
  RequestFault = 'request',
}

const CLASS_BY_CODE: Record<FaultCode, FaultClass> = {
  [FaultCode.InvalidInput]: FaultClass.RequestFault,
  [FaultCode.Unauthorized]: FaultClass.RequestFault,
  [FaultCode.NotFound]: FaultClass.RetryElsewhere,
  [FaultCode.Conflict]: FaultClass.RequestFault,
  [FaultCode.KeyReused]: FaultClass.RequestFault,
  [FaultCode.AlreadyClaimed]: FaultClass.RequestFault,
  [FaultCode.RateLimited]: FaultClass.RetryElsewhere,
  [FaultCode.TooLarge]: FaultClass.RequestFault,
  [FaultCode.Overloaded]: FaultClass.RetryElsewhere,
  [FaultCode.Unavailable]: FaultClass.WorkerFault,
  [FaultCode.Timeout]: FaultClass.WorkerFault,
  [FaultCode.StaleFence]: FaultClass.RetryElsewhere,
  [FaultCode.NotOwner]: FaultClass.RetryElsewhere,
  [FaultCode.Cancelled]: FaultClass.RetryElsewhere,
  [FaultCode.Interrupted]: FaultClass.WorkerFault,
  [FaultCode.InvalidStream]: FaultClass.WorkerFault,
  [FaultCode.Corrupt]: FaultClass.WorkerFault,
  [FaultCode.DiskFull]: FaultClass.RequestFault,
  [FaultCode.Upstream]: FaultClass.WorkerFault,
  [FaultCode.Internal]: FaultClass.WorkerFault,
};

export const classifyFault = (fault: Fault): FaultClass => CLASS_BY_CODE[fault.code];

export interface FailedAttempt {
  fault: Fault;
  idempotency: Idempotency;
  /** Number of attempts made, including the failed one. */
  attempts: number;
  /** Number of attempts that a worker's crash ended before any of the answer. */
  losses: number;
  backoffMs: number;
  now: number;
  deadline: number;
  /** Consumes retry budget; called last, so that only actual retries count. */
  takeRetry: () => boolean;
}

export const decideRetry = (state: FailedAttempt): RetryDecision => {
  const { fault } = state;
  if (classifyFault(fault) === FaultClass.RequestFault) return RetryDecision.Final;
  const mayHaveRun = fault.outcome !== Outcome.NotRun;
  if (mayHaveRun && state.idempotency === Idempotency.NonIdempotent) {
    return RetryDecision.NotIdempotent;
  }
  if (state.attempts >= MAX_ATTEMPTS) return RetryDecision.AttemptsExhausted;
  if (state.losses >= MAX_LOSSES) return RetryDecision.LossesExhausted;
  if (state.now + state.backoffMs >= state.deadline) return RetryDecision.DeadlineExceeded;
  return state.takeRetry() ? RetryDecision.Retry : RetryDecision.BudgetExhausted;
};

/** Computes the exponential backoff before the next attempt, with jitter in its upper half. */
export const computeBackoff = (attempts: number, random: number): number => {
  const ceiling = Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** (attempts - 1));
  return Math.round(ceiling * (0.5 + random / 2));
};

const OUTCOME_PRECEDENCE: Record<Outcome, number> = {
  [Outcome.NotRun]: 0,
  [Outcome.Failed]: 1,
  [Outcome.OutcomeUnknown]: 2,
};

/** Combines the outcomes of several attempts: `not-run` only if none of them ran. */
export const combineOutcomes = (a: Outcome, b: Outcome): Outcome =>
  OUTCOME_PRECEDENCE[a] >= OUTCOME_PRECEDENCE[b] ? a : b;
