/** Error results of segment storage. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { err, type Err } from 'neverthrow';

/** Returns an error result for an operation that had no effect. */
export const createNotRunFault = (
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

/** Returns an error result for an operation that may have taken effect. */
export const createOutcomeUnknownFault = (
  code: FaultCode,
  step: string,
  message: string,
): Err<never, Fault> => err({ code, outcome: Outcome.OutcomeUnknown, step, message });
