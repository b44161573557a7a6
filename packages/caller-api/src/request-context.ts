/** State of one request on its way through the filters. */
import type { Fault } from '@jujubelanding/errors';
import { FaultCode, getHttpStatus, Outcome, toProblemDetails } from '@jujubelanding/errors';
import type {
  ActiveRecord,
  BatchJobs,
  Claims,
  Configuration,
  EntryPoints,
  EntryVmIo,
  OnlineDispatcher,
  TeamLimits,
} from '@jujubelanding/interfaces';
import type { OverloadController } from '@jujubelanding/limits';
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
  overload: Pick<OverloadController, 'admit'>;
  entryPoints: EntryPoints;
  configuration: Configuration;
  /** False while the VM starts or stops. */
  isReady: () => boolean;
  /** Mounted under /admin. */
  admin?: Hono;
}

/** An online request once its body is understood. */
export interface OnlineTarget {
  service: string;
  idempotency: Idempotency;
  /** Tells a retry from another request under the same idempotency key; needed by claims only. */
  computeDigest: () => string;
}

/** Variables that filters hand on. */
export interface RequestVariables {
  requestId: string;
  team: ActiveRecord<RecordKind.Team>;
  body: Uint8Array;
  target: OnlineTarget;
  /** Run when the response has ended, also after a stream. */
  releases: (() => void)[];
  /** Set by handlers whose response ends later than they return. */
  isStreaming: boolean;
  /** Set when the request is answered with a fault. */
  outcome?: Outcome;
}

export interface RequestEnvironment {
  /** Given by the Node server; requests that are passed in otherwise have none. */
  Bindings: Partial<HttpBindings> | undefined;
  Variables: RequestVariables;
}

export type RequestContext = Context<RequestEnvironment>;

export type Middleware = MiddlewareHandler<RequestEnvironment>;

/** Answers with problem details. */
export const respondFault = (exchange: RequestContext, fault: Fault): Response => {
  exchange.set('outcome', fault.outcome);
  const problem = toProblemDetails(fault, exchange.get('requestId'));
  const headers: Record<string, string> = { 'content-type': 'application/problem+json' };
  if (fault.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(fault.retryAfterMs / 1000)));
  }
  return new Response(JSON.stringify(problem), { status: getHttpStatus(fault), headers });
};

/** Runs everything that waits for the end of the response. */
export const releasePermits = (exchange: RequestContext): void => {
  exchange
    .get('releases')
    .splice(0)
    .forEach((run) => run());
};

/** A fault of a request that was refused before anything ran. */
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
