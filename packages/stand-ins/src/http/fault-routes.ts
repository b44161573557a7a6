/** Routes that read and set the faults of a running emulator and read its counters. */
import type { Context } from 'hono';
import * as z from 'zod';
import { Reachability, type LinkFaults } from '../link.js';
import type { App } from './server.js';

const chanceSchema = z.number().min(0).max(1);

export const linkFaultsSchema = z
  .strictObject({
    reachability: z.enum(Reachability),
    latency: z.strictObject({ floorMs: z.number().min(0), meanExtraMs: z.number().min(0) }),
    lostRequestChance: chanceSchema,
    lostReplyChance: chanceSchema,
  })
  .partial();

export const plainServiceFaultsSchema = z
  .strictObject({
    refusalChance: chanceSchema,
    failureChance: chanceSchema,
    wrongIdChance: chanceSchema,
  })
  .partial();

export const streamFaultsSchema = z
  .strictObject({
    breakChance: chanceSchema,
    breakAfterTokens: z.number().int().min(0),
    wrongIdChance: chanceSchema,
    swapChance: chanceSchema,
    gapChance: chanceSchema,
    truncateChance: chanceSchema,
    failChance: chanceSchema,
  })
  .partial();

export interface FaultRouteOptions<T> {
  schema: z.ZodType<T>;
  apply: (change: T) => void;
  readFaults: () => object;
  readCounters: () => object;
}

/** Adds GET and PUT /faults and GET /counters, to which injected faults do not apply. */
export const addFaultRoutes = <T>(app: App, options: FaultRouteOptions<T>): void => {
  app.get('/faults', (context) => context.json(options.readFaults()));
  app.put('/faults', async (context: Context) => {
    const change = options.schema.safeParse(await context.req.json());
    if (!change.success) return context.json({ error: z.prettifyError(change.error) }, 400);
    options.apply(change.data);
    return context.json(options.readFaults());
  });
  app.get('/counters', (context) => context.json(options.readCounters()));
};

/** Adds the fault routes of an emulator that has link faults only. */
export const addLinkFaultRoutes = (
  app: App,
  faults: LinkFaults,
  readCounters: () => object,
  onChange: () => void = () => {},
): void =>
  addFaultRoutes(app, {
    schema: linkFaultsSchema,
    apply: (change) => {
      Object.assign(faults, change);
      onChange();
    },
    readFaults: () => faults,
    readCounters,
  });
