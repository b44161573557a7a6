import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { Hono, type Context } from 'hono';
import { ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { KeyValueService } from '../key-value-service.js';
import { addLinkFaultRoutes } from './fault-routes.js';
import { injectFaults, sendFault, sendResult, type App, type Bindings } from './server.js';

const writeSchema = z.object({
  key: z.string().min(1),
  value: z.string(),
  expectedRevision: z.number().int().min(0),
  leaseId: z.string().optional(),
});

const listSchema = z.object({
  prefix: z.string(),
  limit: z.coerce.number().int().positive().optional(),
  afterKey: z.string().optional(),
});

const removeSchema = z.object({
  key: z.string().min(1),
  expectedRevision: z.coerce.number().int().min(0),
});

const watchSchema = z.object({
  prefix: z.string(),
  afterRevision: z.coerce.number().int().min(0),
  waitMs: z.coerce.number().min(0).max(300_000),
});

const leaseSchema = z.object({ ttlMs: z.number().positive() });

const createInputFault = (error: z.ZodError): Fault => ({
  code: FaultCode.InvalidInput,
  outcome: Outcome.NotRun,
  step: 'readRequest',
  peer: 'key-value',
  message: z.prettifyError(error),
});

/** Validates the input, runs the call on it and responds with the result. */
const respond = async <I, O>(
  context: Context,
  schema: z.ZodType<I>,
  input: unknown,
  run: (input: I) => Result<O, Fault> | Promise<Result<O, Fault>>,
): Promise<Response> => {
  const parsed = schema.safeParse(input);
  if (!parsed.success) return sendFault(context, createInputFault(parsed.error));
  return sendResult(context, await run(parsed.data));
};

const addKeyRoutes = (app: App, { state, counters }: KeyValueService): void => {
  app.get('/v1/key', (context) => {
    counters.add('get');
    return context.json({ entry: state.get(context.req.query('key') ?? '') });
  });
  app.get('/v1/keys', (context) => {
    counters.add('list');
    return respond(context, listSchema, context.req.query(), ({ prefix, limit, afterKey }) =>
      ok(state.list(prefix, limit, afterKey)),
    );
  });
  app.put('/v1/key', async (context) => {
    counters.add('write');
    return respond(context, writeSchema, await context.req.json(), (write) => state.write(write));
  });
  app.delete('/v1/key', (context) => {
    counters.add('remove');
    return respond(context, removeSchema, context.req.query(), ({ key, expectedRevision }) =>
      state.remove(key, expectedRevision),
    );
  });
  app.get('/v1/watch', (context) => {
    counters.add('watch');
    return respond(context, watchSchema, context.req.query(), async (query) =>
      ok(await state.watch(query.prefix, query.afterRevision, query.waitMs)),
    );
  });
};

const addLeaseRoutes = (app: App, { state, counters }: KeyValueService): void => {
  app.post('/v1/leases', async (context) => {
    counters.add('grantLease');
    return respond(context, leaseSchema, await context.req.json(), ({ ttlMs }) =>
      ok(state.grantLease(ttlMs)),
    );
  });
  app.post('/v1/leases/:id/renew', (context) => {
    counters.add('renewLease');
    return sendResult(context, state.renewLease(context.req.param('id')));
  });
  app.delete('/v1/leases/:id', (context) => {
    counters.add('revokeLease');
    state.endLease(context.req.param('id'));
    return context.json({});
  });
};

/** Creates the HTTP interface of a key-value service. */
export const createKeyValueApp = (service: KeyValueService, timer: Timer, random: Random): App => {
  const app = new Hono<Bindings>();
  addLinkFaultRoutes(app, service.faults, () => service.readCounters());
  app.use(
    '/v1/*',
    injectFaults({ timer, random, faults: service.faults, counters: service.counters }),
  );
  addKeyRoutes(app, service);
  addLeaseRoutes(app, service);
  return app;
};
