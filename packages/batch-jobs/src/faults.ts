/** Error results of batch job operations. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { err, type Err } from 'neverthrow';

/** Returns an error result for an operation that had no effect. */
export const createNotRunFault = (
  code: FaultCode,
  step: string,
  message: string,
): Err<never, Fault> => err({ code, outcome: Outcome.NotRun, step, message });

/** Returns an error result for an operation that may have taken effect. */
export const createOutcomeUnknownFault = (step: string, message: string): Err<never, Fault> =>
  err({ code: FaultCode.Unavailable, outcome: Outcome.OutcomeUnknown, step, message });

/** Carries a fault out of an iterable, which can't return a `Result`. */
export class FaultError extends Error {
  constructor(readonly fault: Fault) {
    super(`${fault.step}: ${fault.message}`);
  }
}
