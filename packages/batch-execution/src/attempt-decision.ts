/** Pure decision on an item whose attempt did not succeed. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';

/** Why the executor cancelled a stream itself. */
export enum CancelCause {
  Preempted = 'preempted',
  ChunkStopped = 'chunk-stopped',
  WorkerLost = 'worker-lost',
  Stalled = 'stalled',
}

export enum AttemptDecision {
  /** Runs again; the attempt is not counted. */
  Repeat = 'repeat',
  /** Runs again on another worker. */
  Retry = 'retry',
  Fail = 'fail',
}

/** Refusals that any worker would repeat. */
const PERMANENT_REFUSALS: ReadonlySet<FaultCode> = new Set([
  FaultCode.InvalidInput,
  FaultCode.TooLarge,
]);

export const decideAttempt = (
  fault: Fault,
  cause: CancelCause | undefined,
  attemptsBefore: number,
  maxAttempts: number,
): AttemptDecision => {
  if (cause !== undefined && cause !== CancelCause.Stalled) return AttemptDecision.Repeat;
  if (fault.outcome === Outcome.NotRun && !PERMANENT_REFUSALS.has(fault.code)) {
    return AttemptDecision.Repeat;
  }
  return attemptsBefore + 1 >= maxAttempts ? AttemptDecision.Fail : AttemptDecision.Retry;
};
