/** Filters that every request passes, in the order in which `createCallerApi` lists them. */
import { FaultCode } from '@jujubelanding/errors';
import { computeChecksum } from '@jujubelanding/random';
import { Idempotency } from '@jujubelanding/types';
import {
  createRefusal,
  releasePermits,
  REQUEST_ID_HEADER,
  respondFault,
  type CallerApiOptions,
  type Middleware,
} from './request-context.js';
import { readLimitedBody } from './request-body.js';
import { TeamKeyIndex } from './team-keys.js';

export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

export const IDEMPOTENT_HEADER = 'idempotent';

/** Longer keys are refused; they would only bloat claims and job records. */
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

/** Tag of requests that were not answered with a fault. */
const SUCCEEDED_OUTCOME = 'succeeded';

/** Gives each request an id of its own; ids of callers may repeat and are not used. */
const createAssignRequestId =
  ({ io }: CallerApiOptions): Middleware =>
  async (exchange, next) => {
    const requestId = io.random.createId();
    exchange.set('requestId', requestId);
    exchange.set('releases', []);
    exchange.set('isStreaming', false);
    const startedAt = io.timer.now();
    try {
      await next();
    } finally {
      if (!exchange.get('isStreaming')) releasePermits(exchange);
    }
    exchange.res.headers.set(REQUEST_ID_HEADER, requestId);
    const tags = {
      route: exchange.req.routePath,
      status: String(exchange.res.status),
      outcome: exchange.get('outcome') ?? SUCCEEDED_OUTCOME,
    };
    io.metrics.timing('caller_api.request', io.timer.now() - startedAt, tags);
  };

const createRequireReady =
  ({ isReady }: CallerApiOptions): Middleware =>
  async (exchange, next) => {
    if (isReady()) return next();
    const fault = createRefusal(FaultCode.Unavailable, 'readiness', 'this entry VM is not ready');
    return respondFault(exchange, { ...fault, retryAfterMs: NOT_READY_RETRY_AFTER_MS });
  };

const createAuthenticate = ({ configuration }: CallerApiOptions): Middleware => {
  const keys = new TeamKeyIndex(configuration);
  return async (exchange, next) => {
    const header = exchange.req.header('authorization') ?? '';
    const key = /^Bearer\s+(\S+)$/i.exec(header)?.[1];
    const team = key === undefined ? undefined : keys.find(computeChecksum(key));
    if (team === undefined) {
      const message = 'the team key is missing or not known';
      return respondFault(
        exchange,
        createRefusal(FaultCode.Unauthorized, 'authentication', message),
      );
    }
    exchange.set('team', team);
    return next();
  };
};

const limitBody: Middleware = async (exchange, next) => {
  const body = await readLimitedBody(exchange.req.raw, exchange.get('team').spec.maxBodyBytes);
  if (body.isErr()) return respondFault(exchange, body.error);
  exchange.set('body', body.value);
  return next();
};

const createLimitTeam =
  ({ limits }: CallerApiOptions): Middleware =>
  async (exchange, next) => {
    const admitted = limits.admit(exchange.get('team').name);
    if (admitted.isErr()) return respondFault(exchange, admitted.error);
    exchange.get('releases').push(() => admitted.value.release());
    return next();
  };

const createClaim =
  ({ claims }: CallerApiOptions): Middleware =>
  async (exchange, next) => {
    const { idempotency, computeDigest } = exchange.get('target');
    const key = exchange.req.header(IDEMPOTENCY_KEY_HEADER);
    if (idempotency === Idempotency.Idempotent || key === undefined) return next();
    if (key === '' || key.length > MAX_KEY_LENGTH) {
      const message = `header ${IDEMPOTENCY_KEY_HEADER} must have 1 to ${MAX_KEY_LENGTH} characters`;
      return respondFault(exchange, createRefusal(FaultCode.InvalidInput, 'claim', message));
    }
    const team = exchange.get('team').name;
    const claimed = await claims.claim(team, key, computeDigest(), exchange.get('requestId'));
    return claimed.isErr() ? respondFault(exchange, claimed.error) : next();
  };

const createShedOverload =
  ({ overload }: CallerApiOptions): Middleware =>
  async (exchange, next) => {
    const { service } = exchange.get('target');
    const admitted = await overload.admit(service, exchange.req.raw.signal);
    if (admitted.isErr()) return respondFault(exchange, admitted.error);
    exchange.get('releases').push(() => admitted.value.release());
    return next();
  };

export const createMiddleware = (options: CallerApiOptions): ApiMiddleware => ({
  assignRequestId: createAssignRequestId(options),
  requireReady: createRequireReady(options),
  authenticate: createAuthenticate(options),
  limitBody,
  limitTeam: createLimitTeam(options),
  claim: createClaim(options),
  shedOverload: createShedOverload(options),
});
