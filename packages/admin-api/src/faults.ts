/** Faults of the administration API. */
import { type Fault, FaultCode, Outcome } from '@jujubelanding/errors';

export const createFault = (
  code: FaultCode,
  step: string,
  message: string,
  extra: Partial<Fault> = {},
): Fault => ({ code, outcome: Outcome.NotRun, step, message, ...extra });

/** Converts a fault of a read, or of a write that the key-value service did not apply. */
export const toUnavailable = (fault: Fault, step: string): Fault =>
  createFault(FaultCode.Unavailable, step, `key-value service: ${fault.message}`, {
    ...(fault.peer === undefined ? {} : { peer: fault.peer }),
    retryAfterMs: fault.retryAfterMs ?? 1000,
  });

/** Converts the fault of a write that was sent and may have been applied. */
export const toOutcomeUnknown = (fault: Fault, step: string): Fault => ({
  ...fault,
  step,
  outcome: Outcome.OutcomeUnknown,
});

export const createConflictFault = (expected: number, current: number): Fault =>
  createFault(
    FaultCode.Conflict,
    'write-record',
    `the record has revision ${current}, but revision ${expected} was expected`,
    { details: { expectedRevision: String(expected), currentRevision: String(current) } },
  );

export const createNotFoundFault = (kind: string, name: string): Fault =>
  createFault(FaultCode.NotFound, 'read-record', `there is no record ${kind}/${name}`);
