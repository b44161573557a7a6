/** Converts unsuccessful HTTP responses and transport errors to faults. */
import { getErrorMessage, type Fault, FaultCode, Outcome } from '@jujubelanding/errors';
import * as z from 'zod';

const PROBLEM_TYPE_PREFIX = 'urn:jujubelanding:problem:';

const PROBLEM_SCHEMA = z.object({
  type: z.string(),
  detail: z.string().default(''),
  outcome: z.enum(Outcome),
  step: z.string().default(''),
  peer: z.string().optional(),
  requestId: z.string().optional(),
  retryAfterMs: z.number().optional(),
  details: z.record(z.string(), z.string()).optional(),
});

const FAULT_CODE_BY_STATUS: Record<number, FaultCode> = {
  400: FaultCode.InvalidInput,
  401: FaultCode.Unauthorized,
  403: FaultCode.Unauthorized,
  404: FaultCode.NotFound,
  409: FaultCode.Conflict,
  413: FaultCode.TooLarge,
  429: FaultCode.RateLimited,
  503: FaultCode.Unavailable,
  504: FaultCode.Timeout,
};

const FAULT_CODES = new Set<string>(Object.values(FaultCode));

const toFaultCode = (type: string, status: number): FaultCode => {
  const code = type.startsWith(PROBLEM_TYPE_PREFIX) ? type.slice(PROBLEM_TYPE_PREFIX.length) : '';
  if (FAULT_CODES.has(code)) return code as FaultCode;
  return FAULT_CODE_BY_STATUS[status] ?? FaultCode.Upstream;
};

// A proxy may respond with 5xx after it has forwarded the request, so only 4xx is conclusive.
const createFaultFromStatus = (status: number, peer: string): Fault => ({
  code: FAULT_CODE_BY_STATUS[status] ?? FaultCode.Upstream,
  outcome: status < 500 ? Outcome.Failed : Outcome.OutcomeUnknown,
  step: 'answer',
  peer,
  message: `HTTP status ${status} without problem details`,
});

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Converts a response with an error status to a fault. */
export const toFault = (status: number, body: string, peer: string): Fault => {
  const problem = PROBLEM_SCHEMA.safeParse(parseJson(body));
  if (!problem.success) return createFaultFromStatus(status, peer);
  const { type, detail, requestId, details, outcome, step, retryAfterMs } = problem.data;
  return {
    code: toFaultCode(type, status),
    outcome,
    step,
    peer: problem.data.peer ?? peer,
    message: requestId === undefined ? detail : `${detail} (request ${requestId})`,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    ...(details === undefined ? {} : { details }),
  };
};

const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const isConnectError = (thrown: unknown): boolean => {
  const { code, syscall } = thrown as { code?: string; syscall?: string };
  return syscall === 'connect' || CONNECT_ERROR_CODES.has(code ?? '');
};

/** Converts a transport error to a fault; if no connection was established, no byte was sent. */
export const createTransportFault = (thrown: unknown, peer: string): Fault => {
  if (isConnectError(thrown)) {
    return {
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step: 'connect',
      peer,
      message: getErrorMessage(thrown),
    };
  }
  return {
    code: FaultCode.Interrupted,
    outcome: Outcome.OutcomeUnknown,
    step: 'exchange',
    peer,
    message: `no complete response: ${getErrorMessage(thrown)}`,
  };
};

/** Creates the fault of a request that got no response in time. */
export const createTimeoutFault = (peer: string): Fault => ({
  code: FaultCode.Timeout,
  outcome: Outcome.OutcomeUnknown,
  step: 'exchange',
  peer,
  message: 'no response in time',
});
