/** Faults of segment storage. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { err, type Err } from 'neverthrow';

/** Returns a fault of an operation that had no effect. */
export const errNotRun = (
  code: FaultCode,
  step: string,
  message: string,
  peer?: string,
): Err<never, Fault> =>
  err({
    code,
    outcome: Outcome.NotRun,
    step,
    message,
    ...(peer === undefined ? {} : { peer }),
  });

/** Returns a fault of an operation that may have had an effect. */
export const errOutcomeUnknown = (
  code: FaultCode,
  step: string,
  message: string,
): Err<never, Fault> => err({ code, outcome: Outcome.OutcomeUnknown, step, message });
