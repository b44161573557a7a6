/** Answers of this system itself. */
import {
  FaultCode,
  getHttpStatus,
  Outcome,
  toProblemDetails,
  type Fault,
} from '@jujubelanding/errors';
import type { HeaderFields } from '@jujubelanding/platform';
import type { CallerExchange } from './caller-exchange.js';

const MS_PER_SECOND = 1000;

/** Retry time of a refusal that names none. */
const DEFAULT_RETRY_MS = 200;

const SERVICE_UNAVAILABLE = 503;

const BAD_GATEWAY = 502;

/** Statuses that tell the caller that the request did not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, SERVICE_UNAVAILABLE]);

export interface ErrorResponse {
  status: number;
  headers: HeaderFields;
  body: string;
}

/** A status that promises more than the outcome allows is replaced. */
const chooseStatus = (fault: Fault): number => {
  const status = getHttpStatus(fault);
  if (fault.outcome === Outcome.NotRun) return status >= 500 ? SERVICE_UNAVAILABLE : status;
  return NOT_RUN_STATUSES.has(status) ? BAD_GATEWAY : status;
};

export const toErrorResponse = (fault: Fault, requestId?: string): ErrorResponse => {
  const status = chooseStatus(fault);
  const retryAfterMs = fault.retryAfterMs ?? DEFAULT_RETRY_MS;
  return {
    status,
    headers: {
      'content-type': 'application/problem+json',
      ...(status === SERVICE_UNAVAILABLE || fault.code === FaultCode.RateLimited
        ? { 'retry-after': (retryAfterMs / MS_PER_SECOND).toFixed(3) }
        : {}),
    },
    body: JSON.stringify(toProblemDetails(fault, requestId)),
  };
};

/** Answers with a fault, or breaks off an answer that has begun. */
export const sendError = (exchange: CallerExchange, fault: Fault): void => {
  if (exchange.hasStarted()) {
    exchange.abort();
    return;
  }
  const { status, headers, body } = toErrorResponse(fault, exchange.request.requestId);
  exchange.respond(status, headers, body);
};
