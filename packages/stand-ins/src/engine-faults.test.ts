import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { createRandom } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import {
  CacheEventKind,
  FencingMode,
  OrderKind,
  WorkerRole,
  type Generation,
  type Token,
} from '@jujubelanding/types';
import { expectFault, expectValue } from './fixtures/results.js';
import { BackendServerGroup, ModelEngine, type EngineSettings } from './index.js';

const WORKERS = ['w1', 'w2'].map((id) => ({ id, address: `${id}:80` }));

const createGeneration = (requestId: string, change: Partial<Generation> = {}): Generation => ({
  requestId,
  model: 'base',
  messages: [{ role: 'user', content: `${requestId} ${'z'.repeat(1200)}` }],
  maxTokens: 8,
  resumeTokens: [],
  ...change,
});

const setUp = (settings: Partial<EngineSettings> = {}) => {
  const timer = new VirtualTimer();
  const random = createRandom(3);
  const group = new BackendServerGroup({ timer, random });
  const engines = WORKERS.map(
    ({ id }) => new ModelEngine({ timer, random, workerId: id, settings }),
  );
  engines.forEach((engine) => group.addEngine(engine));
  const client = group.createClient('vm-1');
  const start = (generation: Generation, worker = WORKERS[0]!) => {
    const tokens: Token[] = [];
    const { signal } = new AbortController();
    const end = client.generate(worker, generation, (token) => tokens.push(token), signal);
    return { tokens, end };
  };
  const run = async <T>(call: Promise<T>): Promise<T> => {
    await timer.advance(1);
    return call;
  };
  return { timer, engine: engines[0]!, client, start, run };
};

test('a swapped id belongs to another running stream', async (t) => {
  const { timer, engine, start } = setUp();
  engine.streamFaults.swapChance = 1;
  const stream = start(createGeneration('a'));
  start(createGeneration('b'));
  await timer.advance(2000);
  const ids = stream.tokens.map(({ requestId }) => requestId);
  t.deepEqual(ids, ['a', 'a', 'a', 'b', 'a', 'a', 'a', 'a']);
});

test('the end event of a truncated stream counts more tokens than were sent', async (t) => {
  const { timer, engine, start } = setUp();
  engine.streamFaults.truncateChance = 1;
  const stream = start(createGeneration('a'));
  await timer.advance(2000);
  t.is(expectValue(await stream.end).tokenCount, 8);
  t.is(stream.tokens.length, 7);
});

test('a prompt with the failure marker always fails', async (t) => {
  const { timer, engine, start } = setUp();
  const content = `do ${engine.settings.failureMarker}`;
  const stream = start(createGeneration('a', { messages: [{ role: 'user', content }] }));
  await timer.advance(1000);
  t.is(expectFault(await stream.end).outcome, Outcome.Failed);
  t.is(stream.tokens.length, 0);
});

test('a paused engine generates nothing; on resume it continues and runs what arrived meanwhile', async (t) => {
  const { timer, engine, start } = setUp();
  const running = start(createGeneration('a'));
  await timer.advance(200);
  engine.pause();
  const before = running.tokens.length;
  const late = start(createGeneration('b'));
  await timer.advance(3000);
  t.is(running.tokens.length, before);
  t.is(engine.counts.totalExecutions, 1);
  engine.resume();
  await timer.advance(2000);
  t.true((await running.end).isOk());
  t.true((await late.end).isOk());
});

test('a cancellation that reaches a paused engine takes effect when it resumes', async (t) => {
  const { timer, engine, client, start } = setUp();
  start(createGeneration('a', { maxTokens: 400 }));
  await timer.advance(200);
  engine.pause();
  const cancel = client.cancel(WORKERS[0]!, 'a');
  await timer.advance(1000);
  t.is(engine.countRunning(), 1);
  engine.resume();
  await timer.advance(1);
  t.is(engine.countRunning(), 0);
  t.true((await cancel).isOk());
});

test('an exported KV cache lets another engine resume without prefill', async (t) => {
  const { timer, client, start, run } = setUp({ prefillMsPerToken: 10 });
  const generation = createGeneration('a');
  const first = start(generation);
  await timer.advance(3150);
  await run(client.cancel(WORKERS[0]!, 'a'));
  const resumeTokens = first.tokens.map(({ text }) => text);
  t.true(resumeTokens.length > 0 && resumeTokens.length < 8);
  const cache = expectValue(await run(client.exportCache(WORKERS[0]!, 'a')));
  await run(client.importCache(WORKERS[1]!, 'a', cache));
  const second = start({ ...generation, resumeTokens }, WORKERS[1]);
  await timer.advance(500);
  t.is(first.tokens.length + second.tokens.length, 8);
  t.is(expectFault(await run(client.exportCache(WORKERS[1]!, 'b'))).code, FaultCode.NotFound);
});

test('cache events are delayed, and lost ones leave a gap in the sequence', async (t) => {
  const settings = { cacheEventDelayMs: 300, cacheEventLossChance: 0.3, prefixCacheBlocks: 6 };
  const { timer, engine, start } = setUp(settings);
  for (const id of ['a', 'b', 'c', 'd', 'e']) start(createGeneration(id));
  await timer.advance(200);
  t.deepEqual(engine.readLoad(0).cacheEvents, []);
  await timer.advance(200);
  const events = engine.readLoad(0).cacheEvents;
  const sequences = events.map(({ sequence }) => sequence);
  t.true(sequences.some((sequence, index) => index > 0 && sequence > sequences[index - 1]! + 1));
  t.true(events.some(({ kind }) => kind === CacheEventKind.Evicted));
  t.deepEqual(engine.readLoad(sequences[2]!).cacheEvents, events.slice(3));
});

test('a load report shows the load of an earlier moment', async (t) => {
  const { timer, engine, start } = setUp({ loadReportIntervalMs: 1000 });
  await timer.advance(10);
  start(createGeneration('a', { maxTokens: 400 }));
  await timer.advance(500);
  t.like(engine.readLoad(0), { running: 0, ageMs: 510 });
  await timer.advance(500);
  t.like(engine.readLoad(0), { running: 1, ageMs: 10, streams: ['a'] });
});

test('orders take effect after their duration, with any fencing number if fencing is ignored', async (t) => {
  const { timer, engine, client, run } = setUp({ fencing: FencingMode.Ignored, loadMs: 500 });
  const order = (kind: OrderKind, target: string, fence: number) =>
    run(client.sendOrder(WORKERS[0]!, { kind, target, fence }));
  t.true((await order(OrderKind.LoadAdapter, 'x', 9)).isOk());
  t.true((await order(OrderKind.ChangeRole, WorkerRole.Decode, 1)).isOk());
  await timer.advance(300);
  t.like(engine.readLoad(0), { adapters: [], role: WorkerRole.Decode });
  await timer.advance(600);
  t.deepEqual(engine.readLoad(0).adapters, ['x']);
  t.true((await order(OrderKind.UnloadAdapter, 'x', 1)).isOk());
  await timer.advance(300);
  t.deepEqual(engine.readLoad(0).adapters, []);
});

test('a generation beyond the queue limit is refused as not-run', async (t) => {
  const { start, run } = setUp({ slots: 1, maxQueue: 1 });
  start(createGeneration('a'));
  start(createGeneration('b'));
  const refused = start(createGeneration('c'));
  t.like(expectFault(await run(refused.end)), {
    code: FaultCode.Overloaded,
    outcome: Outcome.NotRun,
  });
});
