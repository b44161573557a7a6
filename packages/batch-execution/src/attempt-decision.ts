/** Decides, as a pure function, what follows an unsuccessful attempt at an item. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';

/** Reason for which the executor cancelled a stream. */
export enum CancelCause {
  Preempted = 'preempted',
  ChunkStopped = 'chunk-stopped',
  WorkerLost = 'worker-lost',
  Stalled = 'stalled',
}

export enum AttemptDecision {
  /** Runs the item again without counting the attempt. */
  Repeat = 'repeat',
  /** Counts the attempt and runs the item again, preferably on another worker. */
  Retry = 'retry',
  /** Records the item as failed. */
  Fail = 'fail',
}

/** Refusals that any other worker would repeat. */
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
