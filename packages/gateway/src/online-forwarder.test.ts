import test from 'ava';
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import type { ResponseHandler, WorkerResponse } from '@jujubelanding/platform';
import { createRandom } from '@jujubelanding/random';
import { RouteKind, type Route } from '@jujubelanding/route-table';
import type { Router, RouteRequest } from '@jujubelanding/routing';
import { VirtualTimer } from '@jujubelanding/timer';
import { VmState } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { OnlineForwarder } from './online-forwarder.js';
import type { RequestQueue } from './queue-passage.js';

const WORKER = {
  id: 'w',
  service: 's',
  address: '',
  availabilityZone: 'z',
  state: VmState.Live,
  startedAt: 7,
};

const createFault = (code: FaultCode, outcome: Outcome): Fault => ({
  code,
  outcome,
  step: 'test',
  message: 'test',
});

const ROUTE: Route = {
  name: 'stream',
  host: 'h',
  prefix: '/',
  kind: RouteKind.Streaming,
  timeoutMs: 1000,
  objectiveMs: 300,
  priority: 0,
  targets: [{ service: 's', weight: 1 }],
  maxAttempts: 2,
  isResumable: true,
};

interface ForwardOptions {
  requestId?: string;
  isSuspected?: boolean;
  onLoss?: (key?: string, startedAt?: number, sentAt?: number) => void;
  onData?: (workerId: string, startedAt?: number) => void;
  onCompletion?: (key: string) => void;
  onCut?: (workerId: string, key: string, cut: object) => void;
  write?: () => boolean;
  onRoute?: (request: RouteRequest) => void;
  route?: Route;
  workers?: number;
  /** Services that have workers. */
  services?: string[];
  queue?: RequestQueue;
  onSuccess?: (status?: number) => void;
  onProbe?: (event: string) => void;
}

/** Forwards one request; an attempt after the given number of workers finds none. */
const forward = async (
  send: (handler: ResponseHandler) => Reply<WorkerResponse>,
  options: ForwardOptions = {},
) => {
  const { requestId = 'r', isSuspected = false, onLoss, onRoute, onSuccess, onData } = options;
  const { route = ROUTE, workers = 1, queue, services = ['s'] } = options;
  const timer = new VirtualTimer();
  const seen: unknown[] = [];
  let attempts = 0;
  const router = {
    hasWorkers: (service: string) => services.includes(service),
    route: (request: RouteRequest) => {
      onRoute?.(request);
      attempts += 1;
      return attempts <= workers
        ? ok(WORKER)
        : err(createFault(FaultCode.Unavailable, Outcome.NotRun));
    },
    watchFirstToken: () => ({ recordToken: () => {}, end: () => {} }),
    recordSuccess: (_worker: unknown, status?: number) => {
      seen.push('success');
      onSuccess?.(status);
    },
    recordCompletion: () => {},
    recordLatency: () => {},
    recordFault: () => seen.push('fault'),
  } as unknown as Router;
  const exchange = {
    request: {
      requestId,
      method: 'POST',
      target: '/',
      host: 'h',
      headers: {},
      identityHeaders: {},
      body: Buffer.alloc(0),
      arrivedAt: 0,
      promptPrefixes: ['a', 'own'],
    },
    signal: new AbortController().signal,
    hasStarted: () => false,
    start: (status: number) => seen.push(`start ${status}`),
    write: options.write ?? (() => true),
    onDrain: () => {},
    end: () => seen.push('end'),
    respond: (status: number) => seen.push(`respond ${status}`),
    abort: () => seen.push('abort'),
  };
  const forwarder = new OnlineForwarder(
    {
      timer,
      random: createRandom(1),
      router,
      loads: {
        get: () => ({ workerId: 'w', slots: 8, ageMs: 0, online: 0, batch: 0 }),
        beginRequest: () => {},
        endRequest: () => {},
      } as never,
      quarantine: {
        findBlock: () => undefined,
        takeProbe: (parts) => {
          options.onProbe?.(`take ${String(parts)}`);
          return { giveBack: () => options.onProbe?.('give back') };
        },
        isSuspected: () => isSuspected,
        recordAnswer: () => seen.push('answer'),
        recordCompletion: (key) => options.onCompletion?.(key),
        recordCut: (workerId, key, cut) => options.onCut?.(workerId, key, cut),
        recordData: (workerId, startedAt) => onData?.(workerId, startedAt),
        recordLoss: (workerId, parts, key, startedAt, sentAt) => {
          seen.push(`loss ${workerId} ${String(parts)}`);
          onLoss?.(key, startedAt, sentAt);
        },
      },
      backends: {
        forward: (_worker, _request, handler) => send(handler),
        close: () => Promise.resolve(),
      },
      metrics: silentMetrics,
      log: silentLog,
      ...(queue === undefined ? {} : { queue }),
    },
    exchange,
    route,
    1,
  );
  await forwarder.run();
  return seen;
};

// 503 is a promise that the request has not run, which is false if an attempt before the last one ran.
test('a request of which an attempt ran is not refused as not run when no other worker is left', async (t) => {
  const seen = await forward(() =>
    Promise.resolve(err(createFault(FaultCode.Interrupted, Outcome.OutcomeUnknown))),
  );
  t.snapshot(seen);
});

// An answer without a length ends with its connection. A worker that crashed before its first event looked
// like one that answered with an empty stream.
test('a stream that ends before its first event is not a complete answer', async (t) => {
  const head = { status: 200, headers: { 'content-type': 'text/event-stream' } };
  const seen = await forward((handler) => {
    handler.onStart(head, () => {});
    return Promise.resolve(ok(head));
  });
  t.snapshot(seen);
});

// A request whose answers have no body was never known to be answered, and was refused after three crashes of
// other cause.
test('an answer without a body is recorded as an answer', async (t) => {
  const head = { status: 204, headers: {} };
  const seen = await forward((handler) => {
    handler.onStart(head, () => {});
    return Promise.resolve(ok(head));
  });
  t.is(seen.filter((event) => event === 'answer').length, 1);
});

// A caller gives each attempt an id of its own, so that nothing connected the crashes of one request.
test('losses of one request are reported under the same key for all attempts', async (t) => {
  const keys: unknown[] = [];
  const lose = () =>
    Promise.resolve(err(createFault(FaultCode.Interrupted, Outcome.OutcomeUnknown)));
  for (const requestId of ['first', 'second']) {
    await forward(lose, { requestId, onLoss: (key) => keys.push(key) });
  }
  t.is(keys.length, 2);
  t.is(typeof keys[0], 'string');
  t.is(keys[0], keys[1]);
});

// The worker may be back under its id when the loss is noticed.
test('a loss is reported for the run of the worker to which the request was sent', async (t) => {
  const runs: unknown[] = [];
  const lose = () =>
    Promise.resolve(err(createFault(FaultCode.Interrupted, Outcome.OutcomeUnknown)));
  await forward(lose, { onLoss: (_key, startedAt, sentAt) => runs.push(startedAt, sentAt) });
  t.deepEqual(runs, [7, 0]);
});

// Guards against a request that crashes workers within its answers: its first event cleared it, and the
// broken answer was not reported.
test('an answer that breaks off is reported as cut, and only a complete one as complete', async (t) => {
  const head = { status: 200, headers: { 'content-type': 'text/event-stream' } };
  const completed: unknown[] = [];
  const cuts: unknown[] = [];
  const record = {
    onCompletion: (key: string) => completed.push(key),
    onCut: (workerId: string, _key: string, cut: object) => cuts.push([workerId, cut]),
  };
  const sendEvents = (text: string) => (handler: ResponseHandler) => {
    handler.onStart(head, () => {});
    handler.onChunk(Buffer.from(text));
    return Promise.resolve(ok(head));
  };
  const breakOff = async (handler: ResponseHandler) => {
    await sendEvents('id: 1\ndata: x\n\n')(handler);
    return err(createFault(FaultCode.Interrupted, Outcome.OutcomeUnknown));
  };
  for (const send of [breakOff, sendEvents('id: 1\ndata: x\n\nid: 2\nda')]) {
    const seen = await forward(send, { ...record, workers: 1 });
    t.deepEqual(
      seen.filter((event) => event === 'answer'),
      ['answer'],
    );
    t.false(seen.some((event) => String(event).startsWith('loss')));
  }
  const cut = { startedAt: 7, sentAt: 0, firstDataAt: 0 };
  t.deepEqual(cuts, [
    ['w', cut],
    ['w', cut],
  ]);
  t.deepEqual(completed, []);
  await forward(sendEvents('id: 1\ndata: x\n\n'), record);
  t.is(completed.length, 1);
  t.is(cuts.length, 2);
});

// Guards against data that were sent before a crash and count as a sign that the run goes on.
test('data that waited for a slow caller are not recorded as data of the run', async (t) => {
  const head = { status: 200, headers: { 'content-type': 'text/event-stream' } };
  const data: unknown[] = [];
  const writes = [true, false, true];
  const send = (handler: ResponseHandler) => {
    handler.onStart(head, () => {});
    [1, 2, 3].forEach((id) => handler.onChunk(Buffer.from(`id: ${id}\ndata: x\n\n`)));
    return Promise.resolve(ok(head));
  };
  await forward(send, { onData: (...run) => data.push(run), write: () => writes.shift()! });
  t.deepEqual(data, [
    ['w', 7],
    ['w', 7],
  ]);
});

test('only a request under which workers crashed is gathered at one worker', async (t) => {
  const gathered: boolean[] = [];
  const refuse = () =>
    Promise.resolve(err(createFault(FaultCode.Unavailable, Outcome.OutcomeUnknown)));
  const onRoute = ({ gatherKey }: RouteRequest) => gathered.push(gatherKey !== undefined);
  await forward(refuse, { isSuspected: true, onRoute });
  await forward(refuse, { isSuspected: false, onRoute });
  t.deepEqual([...new Set(gathered)], [true, false]);
});

const PLAIN: Route = { ...ROUTE, kind: RouteKind.Idempotent, isResumable: false };

const FULL = {
  ...createFault(FaultCode.Overloaded, Outcome.NotRun),
  load: { running: 6, waiting: 0, slots: 6 },
};

const createPermit = (calls: string[]) => ({
  avoided: undefined,
  recordFirstEvent: () => calls.push('first event'),
  release: (workerId?: string) => calls.push(`release ${workerId}`),
});

/** A queue that admits the given number of refused requests and refuses the others. */
const createQueue = (admitted: number) => {
  const calls: string[] = [];
  const queue: RequestQueue = {
    isActive: () => false,
    admit: () => {
      calls.push('admit');
      return Promise.resolve(err(FULL));
    },
    returnRefused: (_request, _load, workerId) => {
      calls.push(`return ${workerId}`);
      const isAdmitted = calls.length <= admitted;
      return Promise.resolve(isAdmitted ? ok(createPermit(calls)) : err(FULL));
    },
  };
  return { calls, queue };
};

// Services that never refuse requests must be as fast as before.
test('a request that needs no permit is sent without delay and without a call of the queue', async (t) => {
  const { calls, queue } = createQueue(0);
  const sent: number[] = [];
  const send = (): Reply<WorkerResponse> => {
    sent.push(1);
    return Promise.resolve(err(createFault(FaultCode.Overloaded, Outcome.NotRun)));
  };
  const ended = forward(send, { route: PLAIN, queue });
  t.is(sent.length, 1, 'sent in the same turn');
  t.true((await ended).includes('respond 503'));
  await forward(() => Promise.resolve(err(FULL)), { route: ROUTE, queue });
  t.deepEqual(calls, []);
});

// Without the time to the first event, the queue would let requests start too late for their objective.
test('the queue learns when a request to an engine gets its first event', async (t) => {
  const calls: string[] = [];
  const { queue } = createQueue(0);
  const admitAll: RequestQueue = {
    ...queue,
    isActive: () => true,
    admit: () => Promise.resolve(ok(createPermit(calls))),
  };
  const head = { status: 200, headers: {} };
  const send = (handler: ResponseHandler) => {
    handler.onStart(head, () => {});
    ['1', '2'].forEach((chunk) => handler.onChunk(Buffer.from(chunk)));
    return Promise.resolve(ok(head));
  };
  await forward(send, { queue: admitAll });
  t.deepEqual(calls, ['first event', 'release w']);
  calls.length = 0;
  await forward(send, { route: PLAIN, queue: admitAll });
  t.deepEqual(calls, ['release w']);
});

// Five workers in a row were asked at once, and the request failed.
test('sends that a full service refuses wait in the queue and do not count as attempts', async (t) => {
  const { calls, queue } = createQueue(7);
  const refuse = () => Promise.resolve(err(FULL));
  const seen = await forward(refuse, { route: PLAIN, workers: 99, queue });
  t.deepEqual(calls, new Array(8).fill('return w'));
  t.true(seen.includes('respond 503'));
});

test('a request that may have run is not refused as not run by the queue', async (t) => {
  const { calls, queue } = createQueue(0);
  const faults = [createFault(FaultCode.Interrupted, Outcome.OutcomeUnknown), FULL];
  const fail = () => Promise.resolve(err(faults.shift()!));
  const seen = await forward(fail, { route: PLAIN, workers: 2, queue });
  t.deepEqual(calls, ['return w']);
  t.true(seen.includes('respond 502'));
});

// Any response counted as a success, so that a worker that answered only with errors was never ejected.
test('the status of the worker is recorded with its answer, and the request is tried again', async (t) => {
  const statuses: unknown[] = [];
  const head = { status: 500, headers: {} };
  const isFinal: unknown[] = [];
  const seen = await forward(
    (handler) => {
      handler.onStart(head, () => {});
      return Promise.resolve(ok(head));
    },
    {
      onSuccess: (status) => statuses.push(status),
      onRoute: ({ isFinalAttempt }) => isFinal.push(isFinalAttempt),
    },
  );
  t.deepEqual(statuses, [500]);
  t.deepEqual(isFinal, [false, true]);
  t.false(seen.includes('fault'));
});

// Guards against using requests that cannot be repeated to test whether a worker has recovered.
test('a request that may run only once is routed as a final attempt', async (t) => {
  const isFinal: unknown[] = [];
  const refuse = () =>
    Promise.resolve(err(createFault(FaultCode.Unavailable, Outcome.OutcomeUnknown)));
  const onRoute = ({ isFinalAttempt }: RouteRequest) => isFinal.push(isFinalAttempt);
  await forward(refuse, { onRoute, route: { ...ROUTE, kind: RouteKind.NonIdempotent } });
  await forward(refuse, { onRoute, route: { ...ROUTE, isResumable: false } });
  t.deepEqual(isFinal, [true, true]);
});

// A blocked part would wait for the next probe after one that no worker has run.
test('the probe of a block is taken for each send, and given back if the request was not run', async (t) => {
  const events: string[] = [];
  const faults = [FULL, createFault(FaultCode.Interrupted, Outcome.OutcomeUnknown)];
  const fail = () => Promise.resolve(err(faults.shift()!));
  await forward(fail, { workers: 2, onProbe: (event) => events.push(event) });
  t.deepEqual(events, ['take a,own', 'give back', 'take a,own']);
});

// Each tenth request was refused while the other service was idle.
test('requests of a split route go to the services that have workers', async (t) => {
  const chosen = new Set<string>();
  const targets = [
    { service: 'lost', weight: 90 },
    { service: 'other', weight: 10 },
  ];
  const refuse = () =>
    Promise.resolve(err(createFault(FaultCode.Unavailable, Outcome.OutcomeUnknown)));
  await forward(refuse, {
    route: { ...ROUTE, targets },
    services: ['other'],
    onRoute: ({ service }) => chosen.add(service),
  });
  t.deepEqual([...chosen], ['other']);
});

// The worker counted as faulty after requests that were never sent to it.
test('a request that HTTP cannot carry is refused after one try, without a fault of the worker', async (t) => {
  let sends = 0;
  const seen = await forward(
    () => {
      sends += 1;
      return Promise.resolve(err(createFault(FaultCode.InvalidInput, Outcome.NotRun)));
    },
    { workers: 3 },
  );
  t.is(sends, 1);
  t.deepEqual(seen, ['respond 400']);
});
