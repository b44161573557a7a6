/** Measures the cost of routing choices and of notices that an owner receives. */
import type { WorkerLoads } from '@jujubelanding/interfaces';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { DatagramKind, type OnlineNotice } from '@jujubelanding/peer-protocol';
import { computePrefixHashes } from '@jujubelanding/platform';
import { createRandom } from '@jujubelanding/random';
import { Router } from '@jujubelanding/routing';
import { VirtualTimer } from '@jujubelanding/timer';
import { NoticeLedger } from '@jujubelanding/worker-load';
import { createDirectory, createWorkers, AVAILABILITY_ZONES } from '../static-state.js';
import { measureSynchronous } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  selectSizes,
  type MeasurementOptions,
  type Series,
} from '../series.js';

/** Workers of one service; the design has 120, a fifth of 600. */
const WORKER_COUNTS = [4, 17, 60, 120, 240, 600];
/** Entry VMs that send notices to an owner. */
const SENDER_COUNTS = [8, 32, 128, 410];
const WORKERS_PER_OWNER = 10;

const createLoads = (): WorkerLoads => ({
  get: (workerId) => ({ workerId, slots: 64, online: workerId.length, batch: 4, ageMs: 100 }),
  beginRequest: () => {},
  endRequest: () => {},
  localInFlight: () => 0,
});

export const createRouter = (count: number, seed: number): Router => {
  const io = {
    timer: new VirtualTimer(),
    random: createRandom(seed),
    createLog: () => silentLog,
    metrics: silentMetrics,
  };
  const directory = createDirectory(createWorkers(count, 1), []);
  return new Router({
    io,
    availabilityZone: AVAILABILITY_ZONES[0]!,
    directory,
    loads: createLoads(),
  });
};

const measureChoice = (count: number, seed: number): Promise<number> => {
  const router = createRouter(count, seed);
  const messages = [{ role: 'user', content: 'Describe the vase. '.repeat(50) }];
  const prefixes = computePrefixHashes(messages);
  router.recordCompletion('worker-0001', prefixes, 1);
  const request = {
    requestId: 'request',
    service: 'service-0',
    target: 'model|',
    prefixes,
    avoided: new Set<string>(),
  };
  return measureSynchronous(() => {
    router.route(request);
  });
};

const createNotice = (sender: number, sequence: number, full: boolean): OnlineNotice => {
  const workerCount = full ? WORKERS_PER_OWNER : 1;
  const inFlight = Array.from(
    { length: workerCount },
    (_, index) => [`worker-${String(index * 7).padStart(4, '0')}`, (sequence % 5) + 1] as const,
  );
  return {
    kind: DatagramKind.OnlineNotice,
    from: `entry-vm-${String(sender).padStart(4, '0')}`,
    bootId: 'aaaaaaaaaaaaaaaa',
    sequence,
    inFlight: Object.fromEntries(inFlight),
    full,
  };
};

const measureNoticeLedger = (senders: number, full: boolean): Promise<number> => {
  const ledger = new NoticeLedger();
  return measureSynchronous((index) => {
    ledger.apply(createNotice(index % senders, index + 1, full), index);
  });
};

/** Measures the choice of a worker and the handling of notices by the worker owner. */
export const measureRouting = async (options: MeasurementOptions): Promise<Series[]> => {
  const choices = await measureEach(selectSizes(WORKER_COUNTS, options), (count) =>
    measureChoice(count, options.seed),
  );
  const startNoticeTimes = await measureEach(SENDER_COUNTS, (senders) =>
    measureNoticeLedger(senders, false),
  );
  const fullNoticeTimes = await measureEach(SENDER_COUNTS, (senders) =>
    measureNoticeLedger(senders, true),
  );
  const notice = {
    kind: Kind.Processor,
    size: 'entry VMs',
    unit: 'µs per notice',
    source: 'worker-load/src/notice-ledger.ts',
  };
  return [
    createSeries(
      {
        id: 'routing.choice',
        title: 'Routing: choice of a worker',
        kind: Kind.Processor,
        size: 'workers of the service',
        unit: 'µs per choice',
        source: 'routing/src/router.ts, chooser.ts',
      },
      pickPoints(choices, (value) => value),
    ),
    createSeries(
      { ...notice, id: 'owner.startNotice', title: 'Worker owner: a start notice' },
      pickPoints(startNoticeTimes, (value) => value),
    ),
    createSeries(
      { ...notice, id: 'owner.fullNotice', title: 'Worker owner: a full notice of 10 workers' },
      pickPoints(fullNoticeTimes, (value) => value),
    ),
  ];
};
