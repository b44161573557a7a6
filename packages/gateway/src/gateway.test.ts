import test from 'ava';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { createRandom } from '@jujubelanding/random';
import { RouteKind, RouteTable, type RoutingConfiguration } from '@jujubelanding/route-table';
import { VirtualTimer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { digestKey } from '@jujubelanding/teams';
import { Gateway, type CallerExchange, type GatewayOptions } from './index.js';

const FAULT = { code: FaultCode.Unavailable, outcome: Outcome.NotRun, step: 'route', message: '' };

const LIMITED: Fault = { ...FAULT, code: FaultCode.RateLimited, retryAfterMs: 1500 };

const createTable = (teams: RoutingConfiguration['teams']): RouteTable => {
  const common = { host: 'h', timeoutMs: 1000, maxAttempts: 1, targets: [] };
  const routes = [
    { ...common, name: 'online', prefix: '/online/', kind: RouteKind.Idempotent },
    { ...common, name: 'batch', prefix: '/batch/', kind: RouteKind.Batch },
  ];
  const limits = { maxBodyBytes: 100 };
  return new RouteTable({ version: 1, routes, services: [], limits, teams } as never);
};

const setUp = (teams: RoutingConfiguration['teams'], overrides: object = {}) => {
  const counted: string[] = [];
  const answers: [status: number, retryAfter: unknown][] = [];
  const gateway = new Gateway({
    ...{ timer: new VirtualTimer(), random: createRandom(1), metrics: silentMetrics },
    log: silentLog,
    readTable: () => createTable(teams),
    configurationAgeMs: () => 0,
    waitUntilReady: async () => {},
    router: { route: () => err(FAULT) },
    quarantine: {
      findBlock: () => undefined,
      isSuspected: () => false,
      takeProbe: () => undefined,
    },
    admission: { refuse: () => undefined, recordDuration: () => {} },
    batch: { submit: async () => {} },
    limits: {
      admit: (team: string) => {
        counted.push(team);
        return err(LIMITED);
      },
    },
    ...overrides,
  } as unknown as GatewayOptions);
  const handle = (target: string, key?: string) =>
    gateway.handle({
      request: {
        ...{ requestId: 'r', method: 'POST', target, host: 'h', headers: {}, key },
        ...{ identityHeaders: {}, body: Buffer.alloc(0), arrivedAt: 0, promptPrefixes: [] },
      },
      signal: new AbortController().signal,
      hasStarted: () => false,
      respond: (status: number, headers: Record<string, unknown>) => {
        answers.push([status, headers['retry-after']]);
      },
      abort: () => {},
    } as unknown as CallerExchange);
  return { counted, answers, handle };
};

// Guards against refusals without a retry time, and against batch items that use up the limit.
test('only online requests of a team are counted, and a refusal is 429 with Retry-After', async (t) => {
  const { counted, answers, handle } = setUp([{ name: 'a', keyDigests: [digestKey('key')] }]);
  await handle('/batch/1', 'key');
  t.deepEqual([counted, answers], [[], []]);
  await handle('/online/1', 'key');
  t.deepEqual(counted, ['a']);
  t.deepEqual(answers, [[429, '1.500']]);
});

// Guards against teams that lose their tokens while no worker can take their requests.
test('a request that is refused before it is sent returns its token, one that was sent does not', async (t) => {
  const teams = [{ name: 'a', keyDigests: [digestKey('key')] }];
  const returned: string[] = [];
  const limits = {
    admit: () => ok(undefined),
    returnUnsent: (team: string) => returned.push(team),
  };
  await setUp(teams, { limits }).handle('/online/1', 'key');
  t.deepEqual(returned, ['a']);
  const worker = { id: 'w' };
  const fault = { ...FAULT, code: FaultCode.Overloaded };
  await setUp(teams, {
    limits,
    router: { route: () => ok(worker), recordFault: () => {} },
    loads: { beginRequest: () => {}, endRequest: () => {}, get: () => ({}) },
    backends: { forward: async () => err(fault) },
  }).handle('/online/1', 'key');
  t.deepEqual(returned, ['a']);
});

// Guards against limits that take effect in a deployment without teams.
test('without teams no request is counted', async (t) => {
  const { counted, answers, handle } = setUp(undefined);
  await handle('/online/1');
  t.deepEqual(counted, []);
  t.is(answers[0]![0], 503);
});
