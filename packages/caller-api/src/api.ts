/** Routes of the caller API with their middleware and handlers. */
import { getErrorMessage, FaultCode, Outcome } from '@jujubelanding/errors';
import { Hono } from 'hono';
import { createBatchHandlers } from './batches.js';
import { createChatHandlers } from './chat.js';
import {
  createRefusal,
  releasePermits,
  respondFault,
  type CallerApiOptions,
  type RequestEnvironment,
} from './request-context.js';
import { createMiddleware, type ApiMiddleware } from './middleware.js';
import { createServiceHandlers } from './services.js';

type Api = Hono<RequestEnvironment>;

/**
 * Routes without authentication. Entry points are also served while the VM is not ready, so that
 * callers can find another one.
 */
const mountPublicRoutes = (
  app: Api,
  options: CallerApiOptions,
  middleware: ApiMiddleware,
): void => {
  app.get('/healthz', (context) => context.json({ status: 'ok' }));
  app.get('/readyz', middleware.requireReady, (context) => context.json({ status: 'ready' }));
  app.get('/v1/entry-points', (context) => {
    const caller = context.req.query('caller') ?? context.get('requestId');
    return context.json(options.entryPoints.choose(caller, context.req.query('zone')));
  });
};

const mountOnlineRoutes = (
  app: Api,
  options: CallerApiOptions,
  middleware: ApiMiddleware,
): void => {
  const { limitBody, limitTeam, claim, shedOverload } = middleware;
  const chat = createChatHandlers(options);
  const services = createServiceHandlers(options);
  app.post(
    '/v1/chat/completions',
    limitBody,
    limitTeam,
    chat.parse,
    claim,
    shedOverload,
    chat.answer,
  );
  app.all(
    '/services/:service/*',
    limitBody,
    limitTeam,
    services.parse,
    claim,
    shedOverload,
    services.answer,
  );
};

/** Batch bodies are parsed as a stream; size limits apply to each item and to the number of items. */
const mountBatchRoutes = (app: Api, options: CallerApiOptions, middleware: ApiMiddleware): void => {
  const batches = createBatchHandlers(options);
  app.post('/v1/batches', middleware.limitTeam, batches.submit);
  app.get('/v1/batches', batches.list);
  app.get('/v1/batches/:id', batches.show);
  app.post('/v1/batches/:id/cancel', batches.cancel);
  app.get('/v1/batches/:id/results', batches.readResults);
};

const mountErrorHandlers = (app: Api, options: CallerApiOptions): void => {
  const log = options.io.createLog('caller-api');
  app.notFound((context) => {
    const message = `no route for ${context.req.method} ${context.req.path}`;
    return respondFault(context, createRefusal(FaultCode.NotFound, 'routes', message));
  });
  app.onError((thrown, context) => {
    releasePermits(context, false);
    log.write('error', { path: context.req.path, message: getErrorMessage(thrown) });
    const fault = createRefusal(FaultCode.Internal, 'caller-api', 'internal error');
    return respondFault(context, { ...fault, outcome: Outcome.OutcomeUnknown });
  });
};

/** Creates the HTTP application of an entry VM. */
export const createCallerApi = (options: CallerApiOptions): Api => {
  const app: Api = new Hono<RequestEnvironment>();
  const middleware = createMiddleware(options);
  app.use(middleware.assignRequestId);
  mountPublicRoutes(app, options, middleware);
  app.use('/v1/*', middleware.requireReady, middleware.authenticate);
  app.use('/services/*', middleware.requireReady, middleware.authenticate);
  mountOnlineRoutes(app, options, middleware);
  mountBatchRoutes(app, options, middleware);
  if (options.admin !== undefined) app.route('/admin', options.admin);
  mountErrorHandlers(app, options);
  return app;
};
