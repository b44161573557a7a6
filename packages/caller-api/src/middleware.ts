/** Middleware of the caller API; `createCallerApi` determines the order. */
import { FaultCode } from '@jujubelanding/errors';
import { Idempotency } from '@jujubelanding/types';
import {
  createRefusal,
  releasePermits,
  REQUEST_ID_HEADER,
  respondFault,
  type CallerApiOptions,
  type Middleware,
} from './request-context.js';
import { createLimitBody } from './limit-body.js';
import { TeamKeyIndex } from './team-keys.js';

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

export const IDEMPOTENT_HEADER = 'idempotent';

/** Longer keys are rejected, because keys are stored in claims and job records. */
export const MAX_KEY_LENGTH = 255;

const NOT_READY_RETRY_AFTER_MS = 1000;

export interface ApiMiddleware {
  assignRequestId: Middleware;
  requireReady: Middleware;
  authenticate: Middleware;
  limitBody: Middleware;
  limitTeam: Middleware;
  claim: Middleware;
  shedOverload: Middleware;
}

/** Value of the metric tag `outcome` for requests without a fault. */
const SUCCEEDED_OUTCOME = 'succeeded';

/** Assigns a new id to each request; ids sent by callers may repeat and are not used. */
const createAssignRequestId =
  ({ io }: CallerApiOptions): Middleware =>
  async (context, next) => {
    const requestId = io.random.createId();
    context.set('requestId', requestId);
    context.set('releases', []);
    context.set('isStreaming', false);
    const startedAt = io.timer.now();
    try {
      await next();
    } finally {
      if (!context.get('isStreaming')) {
        releasePermits(context, context.get('outcome') === undefined);
      }
    }
    context.res.headers.set(REQUEST_ID_HEADER, requestId);
    const tags = {
      route: context.req.routePath,
      status: String(context.res.status),
      outcome: context.get('outcome') ?? SUCCEEDED_OUTCOME,
    };
    io.metrics.timing('caller_api.request', io.timer.now() - startedAt, tags);
  };

const createRequireReady =
  ({ isReady }: CallerApiOptions): Middleware =>
  async (context, next) => {
    if (isReady()) return next();
    const fault = createRefusal(FaultCode.Unavailable, 'readiness', 'this entry VM is not ready');
    return respondFault(context, { ...fault, retryAfterMs: NOT_READY_RETRY_AFTER_MS });
  };

const createAuthenticate = ({ configuration }: CallerApiOptions): Middleware => {
  const keys = new TeamKeyIndex(configuration);
  return async (context, next) => {
    const header = context.req.header('authorization') ?? '';
    const key = /^Bearer\s+(\S+)$/i.exec(header)?.[1];
    const team = key === undefined ? undefined : keys.find(key);
    if (team === undefined) {
      const message = 'the team key is missing or not known';
      return respondFault(
        context,
        createRefusal(FaultCode.Unauthorized, 'authentication', message),
      );
    }
    context.set('team', team);
    return next();
  };
};

const createLimitTeam =
  ({ limits }: CallerApiOptions): Middleware =>
  async (context, next) => {
    const admitted = limits.admit(context.get('team').name);
    if (admitted.isErr()) return respondFault(context, admitted.error);
    context.get('releases').push(() => admitted.value.release());
    return next();
  };

const createClaim =
  ({ claims }: CallerApiOptions): Middleware =>
  async (context, next) => {
    const { idempotency, computeDigest } = context.get('target');
    const key = context.req.header(IDEMPOTENCY_KEY_HEADER);
    if (idempotency === Idempotency.Idempotent || key === undefined) return next();
    if (key === '' || key.length > MAX_KEY_LENGTH) {
      const message = `header ${IDEMPOTENCY_KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`;
      return respondFault(context, createRefusal(FaultCode.InvalidInput, 'claim', message));
    }
    const team = context.get('team').name;
    const claimed = await claims.claim(team, key, computeDigest(), context.get('requestId'));
    return claimed.isErr() ? respondFault(context, claimed.error) : next();
  };

const createShedOverload =
  ({ overload }: CallerApiOptions): Middleware =>
  async (context, next) => {
    const { service, isStream, deadline } = context.get('target');
    const admitted = await overload.admit({
      requestId: context.get('requestId'),
      service,
      isStream,
      team: context.get('team').name,
      bodyBytes: context.get('body').length,
      deadline,
      signal: context.req.raw.signal,
    });
    if (admitted.isErr()) return respondFault(context, admitted.error);
    context.get('releases').push((isAnswered) => admitted.value.release(isAnswered));
    return next();
  };

export const createMiddleware = (options: CallerApiOptions): ApiMiddleware => ({
  assignRequestId: createAssignRequestId(options),
  requireReady: createRequireReady(options),
  authenticate: createAuthenticate(options),
  limitBody: createLimitBody(options),
  limitTeam: createLimitTeam(options),
  claim: createClaim(options),
  shedOverload: createShedOverload(options),
});
