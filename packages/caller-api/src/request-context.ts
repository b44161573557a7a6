/** Request-scoped state that middleware and handlers share. */
import type { Fault } from '@jujubelanding/errors';
import { FaultCode, getHttpStatus, Outcome, toProblemDetails } from '@jujubelanding/errors';
import type {
  ActiveRecord,
  BatchJobs,
  Claims,
  Configuration,
  EntryPoints,
  EntryVmIo,
  OnlineAdmission,
  OnlineDispatcher,
  TeamLimits,
} from '@jujubelanding/interfaces';
import type { BodyReader } from '@jujubelanding/memory-budget';
import type { Idempotency, RecordKind } from '@jujubelanding/types';
import type { HttpBindings } from '@hono/node-server';
import type { Context, Hono, MiddlewareHandler } from 'hono';

export const REQUEST_ID_HEADER = 'x-request-id';

export interface CallerApiOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'createLog' | 'metrics'>;
  dispatcher: OnlineDispatcher;
  batchJobs: BatchJobs;
  limits: TeamLimits;
  claims: Claims;
  overload: OnlineAdmission;
  entryPoints: EntryPoints;
  configuration: Configuration;
  /** False while the VM starts or stops. */
  isReady: () => boolean;
  /** Administration API, mounted under /admin. */
  admin?: Hono;
}

/** What the claim and overload middleware need to know about a parsed online request. */
export interface OnlineTarget {
  service: string;
  /** True for generations. */
  isStream: boolean;
  /** Monotonic time after which the request fails. */
  deadline: number;
  idempotency: Idempotency;
  /**
   * Computes a digest that distinguishes a retry from a different request with the same idempotency
   * key. Lazy, because only claims need it.
   */
  computeDigest: () => string;
}

/** Context variables that middleware sets for later middleware and handlers. */
export interface RequestVariables {
  requestId: string;
  team: ActiveRecord<RecordKind.Team>;
  body: Uint8Array;
  target: OnlineTarget;
  /** Callbacks to run when the response has ended, including a streamed one. */
  releases: ((isAnswered: boolean) => void)[];
  /** Set by handlers that return before their response has ended. */
  isStreaming: boolean;
  /** Set when the response is a fault. */
  outcome?: Outcome;
}

/** What the server passes with each request. */
export interface CallerBindings extends HttpBindings {
  /** Reads bodies within the memory budget of the process. */
  bodies: Pick<BodyReader, 'read' | 'open'>;
}

export interface RequestEnvironment {
  /** Set by the Node server; undefined for requests passed to the application directly. */
  Bindings: Partial<CallerBindings> | undefined;
  Variables: RequestVariables;
}

export type RequestContext = Context<RequestEnvironment>;

export type Middleware = MiddlewareHandler<RequestEnvironment>;

/** Returns a fault as problem details. */
export const respondFault = (context: RequestContext, fault: Fault): Response => {
  context.set('outcome', fault.outcome);
  const problem = toProblemDetails(fault, context.get('requestId'));
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (fault.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(fault.retryAfterMs / 1000)));
  }
  return new Response(JSON.stringify(problem), { status: getHttpStatus(fault), headers });
};

/** Runs the registered release callbacks, which give back the request's permits. */
export const releasePermits = (context: RequestContext, isAnswered: boolean): void => {
  context
    .get('releases')
    .splice(0)
    .forEach((run) => run(isAnswered));
};

/** Creates the fault of a request that was rejected before anything ran. */
export const createRefusal = (
  code: FaultCode,
  step: string,
  message: string,
  details?: Record<string, string>,
): Fault => ({
  code,
  outcome: Outcome.NotRun,
  step,
  message,
  ...(details === undefined ? {} : { details }),
});
