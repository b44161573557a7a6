/** Whether a request is idempotent, that is, may run more than once. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import { Idempotency } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { createRefusal, type RequestContext } from './request-context.js';

/**
 * Reads the header `Idempotent`. `false` makes a request non-idempotent; `true` does not override a
 * service record that declares the path non-idempotent.
 */
export const readIdempotency = (
  context: RequestContext,
  recordIdempotency: Idempotency,
): Result<Idempotency, Fault> => {
  const header = context.req.header('idempotent')?.toLowerCase();
  if (header === undefined || header === 'true') return ok(recordIdempotency);
  if (header === 'false') return ok(Idempotency.NonIdempotent);
  const details = { field: 'Idempotent', value: header, allowed: 'true, false' };
  const message = 'header Idempotent must be true or false';
  return err(createRefusal(FaultCode.InvalidInput, 'headers', message, details));
};
