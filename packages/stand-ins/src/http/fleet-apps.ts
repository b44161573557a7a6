/** HTTP interfaces of the VM list and the weight store. */
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { VmRole, VmState } from '@jujubelanding/types';
import { Hono } from 'hono';
import * as z from 'zod';
import type { VmListService } from '../vm-list-service.js';
import type { WeightStoreService } from '../weight-store-service.js';
import { addLinkFaultRoutes } from './fault-routes.js';
import { injectFaults, sendResult, type App, type Bindings } from './server.js';

const vmSchema = z.object({
  role: z.enum(VmRole),
  state: z.enum(VmState),
  availabilityZone: z.string().min(1),
  address: z.string().min(1),
  service: z.string().optional(),
});

/** Creates the HTTP interface of a VM list; changes are made by PUT and DELETE. */
export const createVmListApp = (service: VmListService, timer: Timer, random: Random): App => {
  const app = new Hono<Bindings>();
  addLinkFaultRoutes(app, service.faults, () => service.counters.read());
  app.use(
    '/v1/*',
    injectFaults({ timer, random, faults: service.faults, counters: service.counters }),
  );
  app.get('/v1/vms', (context) => {
    const { tag, vms } = service.read(context.req.header('if-none-match'));
    context.header('etag', tag);
    return vms === undefined ? context.body(null, 304) : context.json({ vms });
  });
  app.put('/v1/vms/:id', async (context) => {
    const vm = vmSchema.safeParse(await context.req.json());
    if (!vm.success) return context.json({ error: z.prettifyError(vm.error) }, 400);
    service.set({ id: context.req.param('id'), ...vm.data });
    return context.json({});
  });
  app.delete('/v1/vms/:id', (context) => {
    service.remove(context.req.param('id'));
    return context.json({});
  });
  return app;
};

const weightSchema = z.object({ bytes: z.number().int().min(0) });

/** Creates the HTTP interface of a weight store. */
export const createWeightStoreApp = (
  service: WeightStoreService,
  timer: Timer,
  random: Random,
): App => {
  const app = new Hono<Bindings>();
  addLinkFaultRoutes(app, service.faults, () => service.counters.read());
  app.use(
    '/v1/*',
    injectFaults({ timer, random, faults: service.faults, counters: service.counters }),
  );
  app.get('/v1/rate-limit', (context) => context.json({ bytesPerSecond: service.bytesPerSecond }));
  app.get('/v1/weights/:name', (context) =>
    sendResult(context, service.describe(context.req.param('name'))),
  );
  app.put('/v1/weights/:name', async (context) => {
    const weight = weightSchema.safeParse(await context.req.json());
    if (!weight.success) return context.json({ error: z.prettifyError(weight.error) }, 400);
    service.set({ name: context.req.param('name'), bytes: weight.data.bytes });
    return context.json({});
  });
  // Responds once the transfer time has passed; no content is sent, because no client needs it.
  app.post('/v1/weights/:name/transfers', async (context) =>
    sendResult(context, await service.transfer(context.req.param('name'))),
  );
  return app;
};
