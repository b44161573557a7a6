/** Measures the cost of an online request through the caller API, and of each of its tokens. */
import { createCallerApi } from '@jujubelanding/caller-api';
import type { BatchJobs, Claims, Configuration } from '@jujubelanding/interfaces';
import { TeamLimitsController, createShardLimitPort } from '@jujubelanding/limits';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { OnlineAdmissionController, OnlineDispatchController } from '@jujubelanding/online';
import { PeerQuarantine } from '@jujubelanding/peer-quarantine';
import type { BackendServers } from '@jujubelanding/platform';
import { computeChecksum, createRandom } from '@jujubelanding/random';
import { SystemTimer } from '@jujubelanding/timer';
import {
  FencingMode,
  FinishReason,
  RecordKind,
  ServiceKind,
  type TeamRecord,
} from '@jujubelanding/types';
import { ok } from 'neverthrow';
import {
  createConfiguration,
  createDirectory,
  createMember,
  createMembership,
  createShardTable,
  createWorkers,
} from '../static-state.js';
import { measurePerOperation } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  selectSizes,
  type MeasurementOptions,
  type Series,
} from '../series.js';
import { MeteredNetworkGroup } from '../metered-network-group.js';
import { createRouter } from './routing.js';

const TOKEN_COUNTS = [1, 64, 217, 512, 1024];
const TEAM_COUNTS = [250, 1000, 4000, 7300];
/** Workers of one service at design size. */
const SERVICE_WORKERS = 120;
const UNREACHED_LIMIT = 1e9;
const SERVICE_NAME = 'service-0';

const formatTeamKey = (team: number): string => `key-of-team-${team}`;

const createTeam = (index: number): TeamRecord => ({
  keyHashes: [computeChecksum(formatTeamKey(index))],
  requestsPerSecond: UNREACHED_LIMIT,
  burst: UNREACHED_LIMIT,
  concurrency: UNREACHED_LIMIT,
  maxBodyBytes: 1_000_000,
  maxJobItems: 570_000,
  batchWeight: 1,
});

const createTeamConfiguration = (teams: number): Configuration => {
  const createEntry = <T>(name: string, spec: T) => [name, { name, revision: 1, spec }] as const;
  const service = {
    kind: ServiceKind.ModelEngine,
    fencing: FencingMode.Checked,
    slotsPerWorker: 64,
    requestTimeoutMs: 60_000,
    nonIdempotentPaths: [],
  };
  const model = { service: SERVICE_NAME, version: 'v1', minWorkers: 1, maxTokens: 4096 };
  const teamRecords = Array.from({ length: teams }, (_, index) =>
    createEntry(`team-${index}`, createTeam(index)),
  );
  return createConfiguration({
    [RecordKind.Service]: new Map([createEntry(SERVICE_NAME, service)]),
    [RecordKind.Model]: new Map([createEntry('advisor', model)]),
    [RecordKind.Team]: new Map(teamRecords),
  });
};

const TOKEN_TEXT = ' vase';

/** Creates backend servers that stream a fixed number of tokens, each in a separate microtask. */
const createBackendServers = (tokens: number): BackendServers =>
  ({
    generate: async (_worker, { requestId }, onToken) => {
      for (let index = 0; index < tokens; index += 1) {
        onToken({ requestId, index, text: TOKEN_TEXT });
        await Promise.resolve();
      }
      return ok({
        requestId,
        tokenCount: tokens,
        finishReason: FinishReason.Stop,
        cachedTokens: 16,
      });
    },
    cancel: async () => ok(undefined),
  }) as Partial<BackendServers> as BackendServers;

/**
 * Creates the caller API of one VM with its online path; workers, shards and records are static.
 */
const createMeasuredApi = (
  tokens: number,
  teams: number,
  seed: number,
  configuration?: Configuration,
) => {
  const self = createMember(0);
  const timer = new SystemTimer();
  const io = {
    timer,
    random: createRandom(seed),
    createLog: () => silentLog,
    metrics: silentMetrics,
    backendServers: createBackendServers(tokens),
    network: new MeteredNetworkGroup(timer).createNetwork(self.peerAddress),
  };
  const state = {
    configuration: configuration ?? createTeamConfiguration(teams),
    membership: createMembership(self, [self]),
    shards: createShardTable(self, Array(64).fill(self)),
  };
  const router = createRouter(SERVICE_WORKERS, seed);
  const { loads } = Reflect.get(router, 'options') as { loads: never };
  const directory = createDirectory(createWorkers(SERVICE_WORKERS, 1), []);
  const { entryVmId } = self;
  const quarantine = new PeerQuarantine({ io, ...state, directory });
  return createCallerApi({
    io,
    ...state,
    dispatcher: new OnlineDispatchController({ io, ...state, router, loads, quarantine }),
    limits: new TeamLimitsController({
      io,
      port: createShardLimitPort({ io, entryVmId, ...state }),
    }),
    overload: new OnlineAdmissionController({
      io,
      maxOnlineInFlight: 10_000,
      directory,
      loads,
      countLiveVms: () => 1,
    }),
    claims: { claim: async () => ok(undefined) } satisfies Claims,
    batchJobs: {} as BatchJobs,
    entryPoints: { choose: () => ({ entryPoints: [], lifetimeMs: 0 }) },
    isReady: () => true,
  });
};

const REQUEST_BODY = JSON.stringify({
  model: 'advisor',
  stream: true,
  max_tokens: 2048,
  messages: [{ role: 'user', content: 'Describe the vase. '.repeat(50) }],
});

const measureRequest = (tokens: number, seed: number): Promise<number> => {
  const app = createMeasuredApi(tokens, 1, seed);
  const headers = {
    authorization: `Bearer ${formatTeamKey(0)}`,
    'content-type': 'application/json',
  };
  return measurePerOperation(async () => {
    const response = await app.request('http://entry/v1/chat/completions', {
      method: 'POST',
      headers,
      body: REQUEST_BODY,
    });
    const text = await response.text();
    if (!text.includes('[DONE]')) throw new Error(`incomplete reply ${response.status}: ${text}`);
  });
};

/** Measures the first request after a configuration change, which rebuilds the key index. */
const measureKeyIndex = (teams: number, seed: number): Promise<number> => {
  const handlers: (() => void)[] = [];
  const onChange = (handler: () => void) => {
    handlers.push(handler);
    return { cancel: () => {} };
  };
  const app = createMeasuredApi(1, 1, seed, { ...createTeamConfiguration(teams), onChange });
  const headers = { authorization: 'Bearer unknown-key' };
  return measurePerOperation(async () => {
    handlers.forEach((handler) => handler());
    const response = await app.request('http://entry/v1/batches/none', { headers });
    if (response.status !== 401) throw new Error(`unexpected reply ${response.status}`);
  });
};

/** Measures the proxy path without sockets, and the key lookup after a configuration change. */
export const measureProxy = async (options: MeasurementOptions): Promise<Series[]> => {
  const requests = await measureEach(selectSizes(TOKEN_COUNTS, options), (tokens) =>
    measureRequest(tokens, options.seed),
  );
  const keys = await measureEach(TEAM_COUNTS, (teams) => measureKeyIndex(teams, options.seed));
  return [
    createSeries(
      {
        id: 'proxy.request',
        title: 'Online request through the caller API',
        kind: Kind.Processor,
        size: 'tokens',
        unit: 'µs per request',
        source: 'caller-api/src/chat.ts, online/src/online-dispatch.ts',
      },
      pickPoints(requests, (value) => value),
    ),
    createSeries(
      {
        id: 'teams.keyIndex',
        title: 'Team keys: first request after a configuration change',
        kind: Kind.Processor,
        size: 'teams',
        unit: 'µs',
        source: 'caller-api/src/team-keys.ts',
      },
      pickPoints(keys, (value) => value),
    ),
  ];
};
