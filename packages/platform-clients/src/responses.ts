/** Converts HTTP responses to values and faults. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { HttpResponse, HttpRequest } from './http-request.js';

/** Header in which a server reports the outcome of a request. */
export const OUTCOME_HEADER = 'x-outcome';

type RequestOrigin = Pick<HttpRequest, 'step' | 'peer'>;

const CODE_BY_STATUS: Partial<Record<number, FaultCode>> = {
  400: FaultCode.InvalidInput,
  401: FaultCode.Unauthorized,
  404: FaultCode.NotFound,
  409: FaultCode.Conflict,
  413: FaultCode.TooLarge,
  429: FaultCode.RateLimited,
  503: FaultCode.Overloaded,
  504: FaultCode.Timeout,
};

const MS_PER_SECOND = 1000;

const FIRST_SERVER_ERROR = 500;

const faultBodySchema = z.object({
  code: z.enum(FaultCode).optional().catch(undefined),
  message: z.string().optional().catch(undefined),
  retryAfterMs: z.number().optional().catch(undefined),
});

/** Returns the value of a header, or the first one if it is repeated. */
export const readHeader = ({ headers }: HttpResponse, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const parseJson = (body: Buffer): unknown => {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
};

/**
 * Returns the outcome of an unsuccessful response. Unless the server reports the outcome, a server error
 * may come from any intermediary, so only a client error is conclusive.
 */
const readOutcome = (response: HttpResponse): Outcome => {
  const reported = z.enum(Outcome).safeParse(readHeader(response, OUTCOME_HEADER));
  if (reported.success) return reported.data;
  return response.status < FIRST_SERVER_ERROR ? Outcome.Failed : Outcome.OutcomeUnknown;
};

const readRetryAfter = (response: HttpResponse): number | undefined => {
  const seconds = Number(readHeader(response, 'retry-after') ?? NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
};

/** Converts an unsuccessful response to a fault. */
export const toFault = (response: HttpResponse, { step, peer }: RequestOrigin): Fault => {
  const parsed = faultBodySchema.safeParse(parseJson(response.body));
  const body = parsed.success ? parsed.data : {};
  const retryAfterMs = body.retryAfterMs ?? readRetryAfter(response);
  return {
    code: body.code ?? CODE_BY_STATUS[response.status] ?? FaultCode.Upstream,
    outcome: readOutcome(response),
    step,
    peer,
    message: body.message ?? `${peer} responded with status ${response.status}`,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
};

const isSuccess = ({ status }: HttpResponse): boolean => status >= 200 && status < 300;

/** Returns a successful response, or the fault of an unsuccessful one. */
export const expectSuccess = (
  response: HttpResponse,
  origin: RequestOrigin,
): Result<HttpResponse, Fault> =>
  isSuccess(response) ? ok(response) : err(toFault(response, origin));

/** Parses a JSON response; if it does not match the schema, the outcome is unknown. */
export const parseResponse = <T>(
  response: HttpResponse,
  schema: z.ZodType<T>,
  { step, peer }: RequestOrigin,
): Result<T, Fault> => {
  const parsed = schema.safeParse(parseJson(response.body));
  if (parsed.success) return ok(parsed.data);
  const message = `the response of ${peer} does not match its schema: ${z.prettifyError(parsed.error)}`;
  return err({ code: FaultCode.Upstream, outcome: Outcome.OutcomeUnknown, step, peer, message });
};
