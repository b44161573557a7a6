/** The mark that a request must not run twice. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import { Idempotency } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { createRefusal, type RequestContext } from './request-context.js';

/** Reads the header `Idempotent`; `false` always counts, `true` does not lift the record's mark. */
export const readIdempotency = (
  exchange: RequestContext,
  recordIdempotency: Idempotency,
): Result<Idempotency, Fault> => {
  const header = exchange.req.header('idempotent')?.toLowerCase();
  if (header === undefined || header === 'true') return ok(recordIdempotency);
  if (header === 'false') return ok(Idempotency.NonIdempotent);
  const details = { field: 'Idempotent', value: header, allowed: 'true, false' };
  const message = 'header Idempotent must be true or false';
  return err(createRefusal(FaultCode.InvalidInput, 'headers', message, details));
};
