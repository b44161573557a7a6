/** Creates the emulator that is named on the command line. */
import { getErrorMessage, FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { createAgent } from '@jujubelanding/http-connections';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { FencingMode, WorkerRole } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import * as z from 'zod';
import { ModelEngine } from '../engine/model-engine.js';
import type { FetchWeight } from '../engine/order-handler.js';
import { KeyValueService } from '../key-value-service.js';
import { PlainService } from '../plain-service.js';
import { VmListService } from '../vm-list-service.js';
import { WeightStoreService } from '../weight-store-service.js';
import { createVmListApp, createWeightStoreApp } from './fleet-apps.js';
import { createKeyValueApp } from './key-value-app.js';
import { createModelEngineApp } from './model-engine-app.js';
import { createPlainServiceApp } from './plain-service-app.js';
import type { App } from './server.js';

export interface EmulatorFlags {
  port: number;
  seed: number;
  workerId: string;
  lagMs: number;
  bytesPerSecond: number;
  weightStore?: string;
  settings: string;
  latencyMs: number;
}

const countSchema = z.number().int().min(0);
const durationSchema = z.number().min(0);

const engineSettingsSchema = z
  .strictObject({
    slots: z.number().int().min(1),
    maxQueue: countSchema,
    stepBaseMs: durationSchema,
    stepPerStreamMs: durationSchema,
    prefillMsPerToken: durationSchema,
    prefixCacheBlocks: countSchema,
    keptStreams: countSchema,
    cacheEventDelayMs: durationSchema,
    cacheEventLossChance: z.number().min(0).max(1),
    loadReportIntervalMs: durationSchema,
    loadMs: durationSchema,
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
  lagMs: durationSchema,
  bytesPerSecond: z.number().positive(),
  latencyMs: durationSchema,
});

type EmulatorFactory = (flags: EmulatorFlags, timer: Timer, random: Random) => Result<App, string>;

/** No timeout, because the rate limit determines the duration of a transfer. */
const TRANSFER_TIMEOUTS = { headersTimeout: 0 };

/** Fetches weights from the weight store over HTTP. */
const createFetchWeight = (address: string): FetchWeight => {
  const dispatcher = createAgent(TRANSFER_TIMEOUTS);
  return async (name) => {
    const url = `http://${address}/v1/weights/${encodeURIComponent(name)}/transfers`;
    const createFault = (message: string): Fault => ({
      code: FaultCode.Unavailable,
      outcome: Outcome.NotRun,
      step: 'fetchWeight',
      peer: address,
      message,
    });
    try {
      const response = await request(url, { method: 'POST', dispatcher });
      await response.body.dump();
      const { statusCode } = response;
      return statusCode === 200
        ? ok(name)
        : err(createFault(`the weight store responded with status ${statusCode}`));
    } catch (thrown) {
      return err(createFault(getErrorMessage(thrown)));
    }
  };
};

const parseSettings = (text: string): Result<z.infer<typeof engineSettingsSchema>, string> => {
  try {
    const settings = engineSettingsSchema.safeParse(JSON.parse(text));
    return settings.success ? ok(settings.data) : err(z.prettifyError(settings.error));
  } catch {
    return err('--settings is not JSON');
  }
};

const createEngineEmulator: EmulatorFactory = (flags, timer, random) =>
  parseSettings(flags.settings).map((settings) => {
    const fetchWeight =
      flags.weightStore === undefined ? undefined : createFetchWeight(flags.weightStore);
    const { workerId } = flags;
    const engine = new ModelEngine({ timer, random, workerId, settings, fetchWeight });
    return createModelEngineApp(engine, timer, random);
  });

const EMULATOR_FACTORIES: Record<string, EmulatorFactory> = {
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
  'model-engine': createEngineEmulator,
  'plain-service': ({ workerId, latencyMs }, timer, random) => {
    const latency = { floorMs: latencyMs, meanExtraMs: 0 };
    const service = new PlainService({ timer, random, workerId, latency });
    return ok(createPlainServiceApp(service, timer, random));
  },
};

export const EMULATOR_NAMES = Object.keys(EMULATOR_FACTORIES);

/** Creates the HTTP interface of the named emulator, or returns an error message. */
export const createEmulator = (
  name: string,
  flags: EmulatorFlags,
  timer: Timer,
  random: Random,
): Result<App, string> => {
  const create = EMULATOR_FACTORIES[name];
  if (create === undefined) {
    return err(`unknown emulator "${name}"; available: ${EMULATOR_NAMES.join(', ')}`);
  }
  const parsedFlags = flagsSchema.safeParse(flags);
  return parsedFlags.success
    ? create(flags, timer, random)
    : err(z.prettifyError(parsedFlags.error));
};
