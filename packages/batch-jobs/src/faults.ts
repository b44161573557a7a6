/** Faults of batch jobs. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { err, type Err } from 'neverthrow';

/** Returns a fault of an operation that had no effect. */
export const errNotRun = (code: FaultCode, step: string, message: string): Err<never, Fault> =>
  err({ code, outcome: Outcome.NotRun, step, message });

/** Returns a fault of an operation that may have had an effect. */
export const errOutcomeUnknown = (step: string, message: string): Err<never, Fault> =>
  err({ code: FaultCode.Unavailable, outcome: Outcome.OutcomeUnknown, step, message });

/** Thrown by iterables, which cannot return a result. */
export class FaultError extends Error {
  constructor(readonly fault: Fault) {
    super(`${fault.step}: ${fault.message}`);
  }
}
