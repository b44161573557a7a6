import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { OrderKind, type Generation } from '@jujubelanding/types';
import { Hono, type Context, type MiddlewareHandler } from 'hono';
import * as z from 'zod';
import type { ModelEngine } from '../engine/model-engine.js';
import { addFaultRoutes, linkFaultsSchema, streamFaultsSchema } from './fault-routes.js';
import { injectFaults, sendFault, sendResult, type App, type Bindings } from './server.js';

/** State of the engine process. */
export enum EngineState {
  Running = 'running',
  Paused = 'paused',
  Crashed = 'crashed',
}

const faultsSchema = z
  .strictObject({
    link: linkFaultsSchema,
    streams: streamFaultsSchema,
    operation: z.enum(EngineState),
  })
  .partial();

const generationSchema = z.object({
  requestId: z.string().min(1),
  model: z.string(),
  adapter: z.string().optional(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })),
  maxTokens: z.number().int().min(1),
  resumeTokens: z.array(z.string()),
  fence: z.number().optional(),
});

const orderSchema = z.object({
  kind: z.enum(OrderKind),
  target: z.string(),
  fence: z.number(),
  version: z.string().optional(),
  weight: z.string().optional(),
});

type OutgoingResponse = HttpBindings['outgoing'];

const EVENT_STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' };

const createInputFault = (engine: ModelEngine, error: z.ZodError): Fault => ({
  code: FaultCode.InvalidInput,
  outcome: Outcome.NotRun,
  step: 'readRequest',
  peer: engine.workerId,
  message: z.prettifyError(error),
});

/** Ends a stream: a fault with the outcome failed is sent as an event, any other resets the connection. */
const endWithFault = (outgoing: OutgoingResponse, fault: Fault): void => {
  if (fault.outcome !== Outcome.Failed) {
    outgoing.destroy();
    return;
  }
  if (!outgoing.headersSent) outgoing.writeHead(200, EVENT_STREAM_HEADERS);
  outgoing.end(`event: fault\ndata: ${JSON.stringify(fault)}\n\n`);
};

const streamGeneration = (
  context: Context<Bindings>,
  engine: ModelEngine,
  generation: Generation,
) => {
  const { outgoing } = context.env;
  const started = engine.start(generation, {
    onToken: (token) => outgoing.write(`data: ${JSON.stringify(token)}\n\n`),
    onEnd: (end) => outgoing.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`),
    onFault: (fault) => endWithFault(outgoing, fault),
  });
  if (started.isErr()) return sendFault(context, started.error);
  outgoing.writeHead(200, EVENT_STREAM_HEADERS);
  outgoing.flushHeaders();
  outgoing.once('close', () => engine.deferWhilePaused(() => started.value.cancel()));
  return RESPONSE_ALREADY_SENT;
};

const addStreamRoutes = (app: App, engine: ModelEngine): void => {
  app.post('/v1/generations', async (context) => {
    const generation = generationSchema.safeParse(await context.req.json());
    if (generation.success) return streamGeneration(context, engine, generation.data);
    return sendFault(context, createInputFault(engine, generation.error));
  });
  app.delete('/v1/generations/:id', (context) => {
    engine.cancel(context.req.param('id'));
    return context.json({});
  });
  app.get('/v1/caches/:id', (context) =>
    engine.streamCache.export(context.req.param('id')).match(
      (cache) => context.body(Buffer.from(cache)),
      (fault) => sendFault(context, fault),
    ),
  );
  app.put('/v1/caches/:id', async (context) => {
    const cache = new Uint8Array(await context.req.arrayBuffer());
    return sendResult(context, engine.streamCache.import(context.req.param('id'), cache));
  });
};

const addWorkerRoutes = (app: App, engine: ModelEngine): void => {
  app.get('/v1/load', (context) =>
    context.json(engine.readLoad(Number(context.req.query('afterSequence') ?? 0))),
  );
  app.post('/v1/orders', async (context) => {
    const order = orderSchema.safeParse(await context.req.json());
    if (!order.success) return sendFault(context, createInputFault(engine, order.error));
    return sendResult(context, engine.sendOrder(order.data));
  });
};

const STATE_HANDLERS: Record<EngineState, (engine: ModelEngine) => void> = {
  [EngineState.Running]: (engine) => {
    engine.restart();
    engine.resume();
  },
  [EngineState.Paused]: (engine) => engine.pause(),
  [EngineState.Crashed]: (engine) => engine.crash(),
};

const addEngineFaultRoutes = (app: App, engine: ModelEngine): void =>
  addFaultRoutes(app, {
    schema: faultsSchema,
    apply: ({ link, streams, operation }) => {
      Object.assign(engine.faults, link);
      Object.assign(engine.streamFaults, streams);
      if (operation !== undefined) STATE_HANDLERS[operation](engine);
    },
    readFaults: () => ({ link: engine.faults, streams: engine.streamFaults }),
    readCounters: () => ({
      totalExecutions: engine.counts.totalExecutions,
      totalTokens: engine.counts.totalTokens,
      executions: Object.fromEntries(engine.counts.executions),
      tokens: Object.fromEntries(engine.counts.tokens),
    }),
  });

const waitWhilePaused =
  (engine: ModelEngine): MiddlewareHandler<Bindings> =>
  async (_, next) => {
    await new Promise<void>((resolve) => {
      engine.deferWhilePaused(resolve);
    });
    return next();
  };

/** Creates the HTTP interface of a model engine; tokens are sent as server-sent events. */
export const createModelEngineApp = (engine: ModelEngine, timer: Timer, random: Random): App => {
  const app = new Hono<Bindings>();
  addEngineFaultRoutes(app, engine);
  app.use('/v1/*', injectFaults({ timer, random, faults: engine.faults }));
  app.use('/v1/*', waitWhilePaused(engine));
  addStreamRoutes(app, engine);
  addWorkerRoutes(app, engine);
  return app;
};
