import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { Hono } from 'hono';
import * as z from 'zod';
import type { PlainService } from '../plain-service.js';
import { addFaultRoutes, linkFaultsSchema, plainServiceFaultsSchema } from './fault-routes.js';
import { injectFaults, sendFault, type App, type Bindings } from './server.js';

const faultsSchema = z
  .strictObject({ link: linkFaultsSchema, answers: plainServiceFaultsSchema })
  .partial();

/** Creates the HTTP interface of a plain service; it answers any path and method. */
export const createPlainServiceApp = (service: PlainService, timer: Timer, random: Random): App => {
  const app = new Hono<Bindings>();
  addFaultRoutes(app, {
    schema: faultsSchema,
    apply: ({ link, answers }) => {
      Object.assign(service.faults, link);
      Object.assign(service.responseFaults, answers);
    },
    readFaults: () => ({ link: service.faults, answers: service.responseFaults }),
    readCounters: () => ({
      ...service.counters.read(),
      executions: Object.fromEntries(service.executions),
    }),
  });
  app.use('*', injectFaults({ timer, random, faults: service.faults, counters: service.counters }));
  app.all('*', async (context) => {
    const requestId = context.req.header('x-request-id') ?? random.createId();
    const { pathname, search } = new URL(context.req.url);
    const response = await service.run({
      requestId,
      method: context.req.method,
      path: `${pathname}${search}`,
      headers: context.req.header(),
      body: new Uint8Array(await context.req.arrayBuffer()),
    });
    if (response.isErr()) return sendFault(context, response.error);
    if (context.env.outgoing.destroyed) return RESPONSE_ALREADY_SENT;
    const { status, headers, body } = response.value;
    return new Response(Buffer.from(body), {
      status,
      headers: { ...headers, 'x-request-id': response.value.requestId },
    });
  });
  return app;
};
