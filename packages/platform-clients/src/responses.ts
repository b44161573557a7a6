/** Maps HTTP answers to values and faults. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { HttpResponse, HttpRequest } from './http-request.js';

/** Header in which a server says what became of a request. */
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

/** Returns a header that occurs once. */
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
 * Returns the outcome of an answer that is not a success. Without the server's own word, a server
 * error may come from anywhere on the way, so only a client error is conclusive.
 */
const readOutcome = (answer: HttpResponse): Outcome => {
  const stated = z.enum(Outcome).safeParse(readHeader(answer, OUTCOME_HEADER));
  if (stated.success) return stated.data;
  return answer.status < FIRST_SERVER_ERROR ? Outcome.Failed : Outcome.OutcomeUnknown;
};

const readRetryAfter = (answer: HttpResponse): number | undefined => {
  const seconds = Number(readHeader(answer, 'retry-after') ?? NaN);
  return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
};

/** Converts an answer that is not a success to a fault. */
export const toFault = (answer: HttpResponse, { step, peer }: RequestOrigin): Fault => {
  const parsed = faultBodySchema.safeParse(parseJson(answer.body));
  const body = parsed.success ? parsed.data : {};
  const retryAfterMs = body.retryAfterMs ?? readRetryAfter(answer);
  return {
    code: body.code ?? CODE_BY_STATUS[answer.status] ?? FaultCode.Upstream,
    outcome: readOutcome(answer),
    step,
    peer,
    message: body.message ?? `${peer} answered with status ${answer.status}`,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
};

const isSuccess = ({ status }: HttpResponse): boolean => status >= 200 && status < 300;

/** Returns an answer that is a success, or its fault. */
export const expectSuccess = (
  answer: HttpResponse,
  origin: RequestOrigin,
): Result<HttpResponse, Fault> => (isSuccess(answer) ? ok(answer) : err(toFault(answer, origin)));

/** Parses a JSON answer; one of another shape says nothing about the outcome. */
export const parseResponse = <T>(
  answer: HttpResponse,
  schema: z.ZodType<T>,
  { step, peer }: RequestOrigin,
): Result<T, Fault> => {
  const parsed = schema.safeParse(parseJson(answer.body));
  if (parsed.success) return ok(parsed.data);
  const message = `${peer} answered in an unknown form: ${z.prettifyError(parsed.error)}`;
  return err({ code: FaultCode.Upstream, outcome: Outcome.OutcomeUnknown, step, peer, message });
};
