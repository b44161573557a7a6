import test from 'ava';
import { FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type {
  ForwardedRequest,
  RequestForwarder,
  ResponseHandler,
  WorkerResponse,
} from '@jujubelanding/platform';
import { VirtualTimer } from '@jujubelanding/timer';
import { VmState } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { ItemRun, RunOutcome } from './item-run.js';

const EVENTS = 20;

/** Headers as earlier versions stored them. */
const HEADERS = { 'x-note': 'kept', 'keep-alive': 'timeout=5', connection: 'x-hop', 'x-hop': 'a' };

/** Starts a run on a worker that sends what the given function writes. */
const setUp = (
  send: (handler: ResponseHandler, timer: VirtualTimer) => Promise<void>,
  contentType = 'text/event-stream',
) => {
  const timer = new VirtualTimer();
  const requests: ForwardedRequest[] = [];
  const backends: RequestForwarder = {
    forward: async (_worker, request, handler, signal): Reply<WorkerResponse> => {
      requests.push(request);
      const head = { status: 200, headers: { 'content-type': contentType } };
      handler.onStart(head, () => {});
      const aborted = new Promise<'aborted'>((resolve) => {
        signal.addEventListener('abort', () => resolve('aborted'));
      });
      const end = await Promise.race([aborted, send(handler, timer)]);
      const fault = { code: FaultCode.Cancelled, outcome: Outcome.OutcomeUnknown, step: 'forward' };
      return end === 'aborted' ? err({ ...fault, message: 'aborted' }) : ok(head);
    },
    close: () => Promise.resolve(),
  };
  const progress = { events: [] as string[], failures: 0 };
  const run = new ItemRun({
    runId: 'run',
    timer,
    backends,
    worker: { id: 'w', service: 's', address: '', availabilityZone: 'z', state: VmState.Live },
    job: {
      schemaVersion: 1,
      id: 'job',
      host: 'h',
      target: '/',
      submittedAt: 0,
      dueMs: 1,
      itemLifetimeMs: 1,
      maxAttempts: 1,
      items: [],
    },
    item: { id: 'item', tokens: 1, target: '/', headers: HEADERS, body: '' },
    progress,
    remainingMs: 60_000,
    onFirstEvent: () => {},
    onEvent: () => {},
  });
  const play = async (durationMs: number) => {
    const result = run.run();
    await timer.advance(durationMs);
    return result;
  };
  return { play, progress, requests };
};

test('a slow but sound stream is not cut', async (t) => {
  const { play, progress } = setUp(async (handler, timer) => {
    for (let event = 1; event <= EVENTS; event += 1) {
      await timer.sleep(1000);
      handler.onChunk(Buffer.from(`id: ${event}\ndata: ${event}\n\n`));
    }
  });
  t.is((await play(EVENTS * 1000 + 100)).outcome, RunOutcome.Completed);
  t.is(progress.events.length, EVENTS);
});

test('a stalled stream that sends a byte now and then ends, and keeps its events', async (t) => {
  const { play, progress } = setUp(async (handler, timer) => {
    handler.onChunk(Buffer.from('id: 1\ndata: first\n\nid: 2\ndata: '));
    for (;;) {
      await timer.sleep(300);
      handler.onChunk(Buffer.from('x'));
    }
  });
  const result = await play(1500);
  t.is(result.outcome, RunOutcome.Interrupted);
  t.true(result.durationMs < 1500);
  t.deepEqual(progress.events, ['first']);
});

test('an event without end is cut before it fills the memory', async (t) => {
  const filler = Buffer.alloc(64 * 1024, 'x');
  let sent = 0;
  const { play } = setUp(async (handler, timer) => {
    let wantsMore = true;
    while (wantsMore) {
      await timer.sleep(1);
      sent += filler.length;
      wantsMore = handler.onChunk(filler);
    }
  });
  t.is((await play(100)).outcome, RunOutcome.Interrupted);
  t.true(sent <= 512 * 1024, `${sent} bytes read`);
});

test('a character that arrives in two chunks is not damaged', async (t) => {
  const bytes = Buffer.from('id: 1\ndata: ü\n\n');
  const { play, progress } = setUp((handler) => {
    handler.onChunk(bytes.subarray(0, 13));
    handler.onChunk(bytes.subarray(13));
    return Promise.resolve();
  });
  await play(10);
  t.deepEqual(progress.events, ['ü']);
});

// An answer without a length ends with its connection, also if the worker crashes. Its item was listed as
// completed without the rest of its text.
test('a stream that ends inside an event, or without any event, is not complete', async (t) => {
  const outcomes: Record<string, RunOutcome> = {};
  const streams = ['', 'id: 1\ndata: a\n\nid: 2\ndata: b', 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'];
  for (const stream of streams) {
    const { play } = setUp((handler) => {
      if (stream !== '') handler.onChunk(Buffer.from(stream));
      return Promise.resolve();
    });
    outcomes[stream] = (await play(10)).outcome;
  }
  t.snapshot(outcomes);
});

const KIB = 1024;

const MAX_OUTPUT = 1024 * KIB;

// A worker that sends events without end filled the memory of the VM until the lifetime of the item ended.
test('an output that is too long to be stored ends its run', async (t) => {
  const { play, progress } = setUp(async (handler) => {
    let isWanted = true;
    for (let event = 1; event <= 4 * KIB && isWanted; event += 1) {
      isWanted = handler.onChunk(Buffer.from(`id: ${event}\ndata: ${'x'.repeat(KIB)}\n\n`));
    }
  });
  const result = await play(100);
  t.is(result.outcome, RunOutcome.Interrupted);
  t.true(progress.events.reduce((sum, { length }) => sum + length, 0) <= MAX_OUTPUT);
});

test('events in one chunk with an invalid one do not count', async (t) => {
  const { play, progress } = setUp(async (handler) => {
    const numbers = [1, 3, 2];
    handler.onChunk(Buffer.from(numbers.map((id) => `id: ${id}\ndata: ${id}\n\n`).join('')));
  });
  const result = await play(100);
  t.is(result.outcome, RunOutcome.Interrupted);
  t.deepEqual(progress.events, ['1']);
});

// The continuation of an item that was answered with a body that is no stream completed it with a part.
test('a success that is no event stream does not complete an item', async (t) => {
  for (const body of ['', '\n\n', '{"error":"busy"}\n\n', 'data: text\n\n']) {
    const { play, progress } = setUp(async (handler) => {
      handler.onChunk(Buffer.from(body));
    }, 'application/json');
    Object.assign(progress, { events: ['first'], lastEventId: '1' });
    t.is((await play(100)).outcome, RunOutcome.Interrupted, body);
    t.deepEqual(progress.events, ['first']);
  }
});

// A job that an earlier version accepted lost a connection with each run of its items.
test('an item is run without the stored headers that concern one connection', async (t) => {
  const { play, requests } = setUp((handler) => {
    handler.onChunk(Buffer.from('id: 1\ndata: 1\n\n'));
    return Promise.resolve();
  });
  t.is((await play(10)).outcome, RunOutcome.Completed);
  t.deepEqual(requests[0]!.headers, { 'x-note': 'kept' });
});
