/** Creates the emulator that a command line names. */
import { describeThrown, FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { FencingMode, WorkerRole } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import * as z from 'zod';
import { ModelEngine } from '../engine/model-engine.js';
import type { FetchWeight } from '../engine/orders.js';
import { KeyValueService } from '../key-value-service.js';
import { PlainService } from '../plain-service.js';
import { VmListService } from '../vm-list-service.js';
import { WeightStoreService } from '../weight-store-service.js';
import { createVmListApp, createWeightStoreApp } from './fleet-apps.js';
import { createKeyValueApp } from './key-value-app.js';
import { createModelEngineApp } from './model-engine-app.js';
import { createPlainServiceApp } from './plain-service-app.js';
import type { App } from './server.js';

export interface StandInFlags {
  port: number;
  seed: number;
  workerId: string;
  lagMs: number;
  bytesPerSecond: number;
  weightStore?: string;
  settings: string;
  latencyMs: number;
}

const count = z.number().int().min(0);
const duration = z.number().min(0);

const engineSettingsSchema = z
  .strictObject({
    slots: z.number().int().min(1),
    maxQueue: count,
    stepBaseMs: duration,
    stepPerStreamMs: duration,
    prefillMsPerToken: duration,
    prefixCacheBlocks: count,
    keptStreams: count,
    cacheEventDelayMs: duration,
    cacheEventLossChance: z.number().min(0).max(1),
    loadReportIntervalMs: duration,
    loadMs: duration,
    fencing: z.enum(FencingMode),
    models: z.array(z.string()),
    adapters: z.array(z.string()),
    role: z.enum(WorkerRole),
    failureMarker: z.string(),
  })
  .partial();

const flagsSchema = z.object({
  port: z.number().int().min(0).max(65_535),
  seed: z.number().int(),
  lagMs: duration,
  bytesPerSecond: z.number().positive(),
  latencyMs: duration,
});

type Creator = (flags: StandInFlags, timer: Timer, random: Random) => Result<App, string>;

/** Loads weights through the program of the weight store. */
const createFetchWeight =
  (address: string): FetchWeight =>
  async (name) => {
    const url = `http://${address}/v1/weights/${encodeURIComponent(name)}/transfers`;
    const createFault = (message: string): Fault => ({
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step: 'fetchWeight',
      peer: address,
      message,
    });
    try {
      // A transfer takes as long as the rate limit demands.
      const response = await request(url, { method: 'POST', headersTimeout: 0 });
      await response.body.dump();
      const { statusCode } = response;
      return statusCode === 200 ? ok(name) : err(createFault(`status ${statusCode}`));
    } catch (thrown) {
      return err(createFault(describeThrown(thrown)));
    }
  };

const parseSettings = (text: string): Result<z.infer<typeof engineSettingsSchema>, string> => {
  try {
    const settings = engineSettingsSchema.safeParse(JSON.parse(text));
    return settings.success ? ok(settings.data) : err(z.prettifyError(settings.error));
  } catch {
    return err('--settings is not JSON');
  }
};

const createEngineProgram: Creator = (flags, timer, random) =>
  parseSettings(flags.settings).map((settings) => {
    const fetchWeight =
      flags.weightStore === undefined ? undefined : createFetchWeight(flags.weightStore);
    const { workerId } = flags;
    const engine = new ModelEngine({ timer, random, workerId, settings, fetchWeight });
    return createModelEngineApp(engine, timer, random);
  });

const CREATORS: Record<string, Creator> = {
  'key-value': (_, timer, random) =>
    ok(createKeyValueApp(new KeyValueService({ timer, random }), timer, random)),
  'vm-list': ({ lagMs }, timer, random) =>
    ok(createVmListApp(new VmListService({ timer, random, lagMs }), timer, random)),
  'weight-store': ({ bytesPerSecond }, timer, random) =>
    ok(
      createWeightStoreApp(
        new WeightStoreService({ timer, random, bytesPerSecond }),
        timer,
        random,
      ),
    ),
  'model-engine': createEngineProgram,
  'plain-service': ({ workerId, latencyMs }, timer, random) => {
    const latency = { floorMs: latencyMs, meanExtraMs: 0 };
    const service = new PlainService({ timer, random, workerId, latency });
    return ok(createPlainServiceApp(service, timer, random));
  },
};

export const STAND_IN_NAMES = Object.keys(CREATORS);

/** Creates the HTTP interface of the named emulator, or explains why it cannot. */
export const createStandIn = (
  name: string,
  flags: StandInFlags,
  timer: Timer,
  random: Random,
): Result<App, string> => {
  const create = CREATORS[name];
  if (create === undefined) {
    return err(`unknown stand-in "${name}"; known: ${STAND_IN_NAMES.join(', ')}`);
  }
  const checked = flagsSchema.safeParse(flags);
  return checked.success ? create(flags, timer, random) : err(z.prettifyError(checked.error));
};
