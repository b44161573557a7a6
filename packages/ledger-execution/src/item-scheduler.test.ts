import test from 'ava';
import { ItemState } from '@jujubelanding/batch-ledger';
import type { Plan } from '@jujubelanding/fleet-load';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { RouteKind, RouteTable } from '@jujubelanding/route-table';
import { VirtualTimer } from '@jujubelanding/timer';
import { VmState } from '@jujubelanding/types';
import { createOwnedItem } from './owned-job.js';
import { ItemScheduler, type ItemSchedulerOptions } from './item-scheduler.js';

/** Creates a scheduler with one waiting item and one worker, which is leaving at first. */
const setUp = () => {
  const timer = new VirtualTimer();
  const worker = { id: 'w', service: 's', address: '', availabilityZone: 'z' };
  const state = { worker: VmState.Leaving, leaving: ['w'] };
  const added: ItemState[] = [];
  const item = createOwnedItem(0, { events: [], failures: 0 });
  const ownedJob = {
    jobId: 'job',
    dueAt: 1000,
    requests: [{ target: '/', headers: {}, body: '' }],
    listWaiting: () => [item],
    listRunning: () => [],
    results: { add: ({ state: itemState }: { state: ItemState }) => added.push(itemState) },
  };
  const configuration: { version: number; hasRoute: boolean } = { version: 1, hasRoute: true };
  const job = {
    configurationVersion: 1,
    host: 'h',
    target: '/',
    submittedAt: timer.wallClock(),
    itemLifetimeMs: 60_000,
    items: [{ id: 'i' }],
  };
  const waiting: { services: string[]; avoided: readonly string[] }[] = [];
  const sent: string[] = [];
  const route = {
    name: 'r',
    host: 'h',
    prefix: '/',
    kind: RouteKind.Batch,
    timeoutMs: 1000,
    objectiveMs: 1000,
    priority: 0,
    targets: [{ service: 's', weight: 1 }],
    maxAttempts: 1,
    isResumable: true,
  };
  const scheduler = new ItemScheduler({
    timer,
    log: silentLog,
    metrics: silentMetrics,
    table: { find: () => ({ job }) },
    loads: {
      setWaiting: (counts: [string, number, number][], avoided: readonly string[]) =>
        waiting.push({ services: counts.map(([service]) => service), avoided }),
      beginBatch: () => {},
    },
    quarantine: { hasBlocks: false },
    directory: {
      all: () => [{ ...worker, state: state.worker }],
      find: () => ({ ...worker, state: state.worker }),
      listLeaving: () => state.leaving,
    },
    backends: {
      forward: ({ id }: { id: string }) => {
        sent.push(id);
        return new Promise(() => {});
      },
    },
    readTable: () => {
      const { version, hasRoute } = configuration;
      return new RouteTable({ version, routes: hasRoute ? [route] : [], services: [] } as never);
    },
    isTableLoaded: () => true,
    listOwnedJobs: () => [ownedJob],
  } as unknown as ItemSchedulerOptions);
  const grant = { starts: [['run', 'w', 's']], cuts: [] as string[] } as Plan;
  return { timer, scheduler, state, item, waiting, sent, added, grant, configuration, job };
};

// The planner on another VM may not know that a worker is leaving, and grants its slots.
test('an item that is granted to a leaving worker waits on, without a failure, and the planner is told', (t) => {
  const { scheduler, state, item, waiting, sent, grant } = setUp();
  scheduler.carryOut(grant);
  t.deepEqual(sent, []);
  scheduler.publishWaiting();
  t.deepEqual(waiting, [{ services: ['s'], avoided: ['w'] }]);
  t.is(item.progress.failures, 0);
  state.worker = VmState.Live;
  state.leaving = [];
  scheduler.publishWaiting();
  t.deepEqual(waiting[1]?.avoided, []);
  scheduler.carryOut(grant);
  t.deepEqual(sent, ['w']);
});

// A VM whose configuration was older than an accepted job found no route for it and gave up all of its items.
test('items wait while the configuration is older than the one under which their job was accepted', (t) => {
  const { scheduler, state, sent, added, waiting, grant, configuration, job } = setUp();
  Object.assign(state, { worker: VmState.Live, leaving: [] });
  job.configurationVersion = 7;
  Object.assign(configuration, { version: 3, hasRoute: false });
  scheduler.publishWaiting();
  // An older version may have the route with another service.
  configuration.hasRoute = true;
  scheduler.publishWaiting();
  scheduler.carryOut(grant);
  t.deepEqual([added, sent, waiting.map(({ services }) => services)], [[], [], [[], []]]);
  configuration.version = 7;
  scheduler.publishWaiting();
  scheduler.carryOut(grant);
  t.deepEqual([added, sent, waiting.at(-1)?.services], [[], ['w'], ['s']]);
});

test('items are given up once a configuration that is not older has no route for their job', (t) => {
  const { scheduler, added, configuration, job } = setUp();
  job.configurationVersion = 7;
  Object.assign(configuration, { version: 7, hasRoute: false });
  scheduler.publishWaiting();
  t.deepEqual(added, [ItemState.GivenUp]);
});

test('an item whose lifetime ends while it waits for a configuration is given up', async (t) => {
  const { timer, scheduler, added, job } = setUp();
  job.configurationVersion = 7;
  await timer.advance(job.itemLifetimeMs);
  scheduler.publishWaiting();
  t.deepEqual(added, [ItemState.GivenUp]);
});
