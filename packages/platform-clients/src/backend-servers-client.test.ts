import test, { type ExecutionContext } from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import type { WorkerAddress } from '@jujubelanding/platform';
import { computeAnswer } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { OrderKind, type Generation, type Token } from '@jujubelanding/types';
import { expectFault, expectValue } from './fixtures/results.js';
import {
  ResponseEnd,
  awaitCall,
  awaitCondition,
  serveResponse,
  serveEngine,
  servePlainService,
} from './fixtures/servers.js';
import { createBackendServersClient } from './index.js';

const createGeneration = (change: Partial<Generation> = {}): Generation => ({
  requestId: 'r1',
  model: 'base',
  messages: [{ role: 'user', content: 'grüße' }],
  maxTokens: 8,
  resumeTokens: [],
  ...change,
});

const createRequest = (requestId: string) => ({
  requestId,
  method: 'POST',
  path: '/orders?dry=1',
  headers: { 'content-type': 'text/plain', connection: 'close' },
  body: Buffer.from('content'),
});

const setUp = (t: ExecutionContext) => {
  const timer = new VirtualTimer();
  const client = createBackendServersClient({ timer });
  t.teardown(() => client.close());
  const start = (worker: WorkerAddress, generation = createGeneration()) => {
    const tokens: Token[] = [];
    const abort = new AbortController();
    const end = client.generate(worker, generation, (token) => tokens.push(token), abort.signal);
    return { tokens, abort, end };
  };
  return { timer, client, start };
};

const { signal } = new AbortController();

test('a stream delivers all tokens in order and then its end', async (t) => {
  const { timer, worker } = await serveEngine(t);
  const { start } = setUp(t);
  const stream = start(worker);
  const end = expectValue(await awaitCall(timer, stream.end));
  t.deepEqual(
    stream.tokens.map(({ text }) => text),
    computeAnswer(createGeneration()).tokens,
  );
  t.is(end.tokenCount, 8);
});

test('a stream whose connection is cut does not count as complete', async (t) => {
  const { timer, engine, worker } = await serveEngine(t);
  const { start } = setUp(t);
  engine.streamFaults.breakChance = 1;
  const stream = start(worker);
  const fault = expectFault(await awaitCall(timer, stream.end));
  t.deepEqual([fault.code, fault.outcome], [FaultCode.Interrupted, Outcome.OutcomeUnknown]);
  t.is(stream.tokens.length, 3);
});

test('a stream that ends without an end event does not count as complete', async (t) => {
  const token = `data: ${JSON.stringify({ requestId: 'r1', index: 0, text: 'a' })}\n\n`;
  const worker = await serveResponse(t, 200, { 'content-type': 'text/event-stream' }, token);
  const stream = setUp(t).start(worker);
  t.is(expectFault(await stream.end).code, FaultCode.Interrupted);
  t.is(stream.tokens.length, 1);
});

test('an invalid token ends the stream and later tokens are not delivered', async (t) => {
  const later = 'data: {"requestId":"r1","index":1,"text":"b"}\n\n';
  const body = `data: {"requestId":"r1","index":"0"}\n\n${later}`;
  const worker = await serveResponse(t, 200, { 'content-type': 'text/event-stream' }, body);
  const stream = setUp(t).start(worker);
  t.is(expectFault(await stream.end).code, FaultCode.InvalidStream);
  t.is(stream.tokens.length, 0);
});

test('no token is delivered after the abort, even from the same chunk', async (t) => {
  const events = [0, 1, 2].map((index) => {
    const token = JSON.stringify({ requestId: 'r1', index, text: 'a' });
    return `data: ${token}\n\n`;
  });
  const headers = { 'content-type': 'text/event-stream' };
  const worker = await serveResponse(t, 200, headers, events.join(''));
  const abort = new AbortController();
  const indexes: number[] = [];
  const { client } = setUp(t);
  const onToken = ({ index }: Token): void => {
    indexes.push(index);
    abort.abort();
  };
  const end = await client.generate(worker, createGeneration(), onToken, abort.signal);
  t.is(expectFault(end).code, FaultCode.Cancelled);
  t.deepEqual(indexes, [0]);
});

test('an invalid token ends the stream before the engine ends it', async (t) => {
  const worker = await serveResponse(t, 200, {}, 'data: {"requestId":1}\n\n', ResponseEnd.Open);
  const stream = setUp(t).start(worker);
  t.is(expectFault(await stream.end).code, FaultCode.InvalidStream);
});

test('a stream counts as complete even if its connection breaks after the end event', async (t) => {
  const end = { requestId: 'r1', tokenCount: 0, finishReason: 'stop', cachedTokens: 0 };
  const body = `event: end\ndata: ${JSON.stringify(end)}\n\n`;
  const worker = await serveResponse(t, 200, {}, body, ResponseEnd.Reset);
  t.deepEqual(expectValue(await setUp(t).start(worker).end) as object, end);
});

test('wrong ids and gaps are passed to the caller unchanged', async (t) => {
  const { timer, engine, worker } = await serveEngine(t);
  const { start } = setUp(t);
  engine.streamFaults.wrongIdChance = 1;
  const wrong = start(worker);
  await awaitCall(timer, wrong.end);
  t.is(wrong.tokens.filter(({ requestId }) => requestId !== 'r1').length, 1);
  Object.assign(engine.streamFaults, { wrongIdChance: 0, gapChance: 1 });
  const gap = start(worker);
  await awaitCall(timer, gap.end);
  t.deepEqual(
    gap.tokens.map(({ index }) => index),
    [0, 1, 2, 4, 5, 6, 7],
  );
});

test('the abort signal also ends the generation on the engine', async (t) => {
  const { timer, engine, worker } = await serveEngine(t);
  const { start } = setUp(t);
  const stream = start(worker, createGeneration({ maxTokens: 400 }));
  while (stream.tokens.length === 0) await timer.advance(5);
  stream.abort.abort();
  t.is(expectFault(await stream.end).code, FaultCode.Cancelled);
  await awaitCondition(timer, () => engine.countRunning() === 0);
  t.pass();
});

test('a refused connection, a rejected request and a stale fencing number are not-run', async (t) => {
  const { engine, listener, worker } = await serveEngine(t);
  const { start, client } = setUp(t);
  const unknown = start(worker, createGeneration({ model: 'other' }));
  t.is(expectFault(await unknown.end).outcome, Outcome.NotRun);
  const order = { kind: OrderKind.LoadAdapter, target: 'x', fence: 3 };
  t.true((await client.sendOrder(worker, order)).isOk());
  const stale = expectFault(await client.sendOrder(worker, { ...order, fence: 2 }));
  t.deepEqual([stale.code, stale.outcome], [FaultCode.StaleFence, Outcome.NotRun]);
  await listener.close();
  // A new client without open connections, because bytes sent on a closing one have an unknown outcome.
  t.is(expectFault(await setUp(t).start(worker).end).outcome, Outcome.NotRun);
  t.is(engine.counts.totalExecutions, 0);
});

test('a failure that the engine reports has the outcome failed, with step and peer', async (t) => {
  const { timer, engine, worker } = await serveEngine(t);
  engine.streamFaults.failChance = 1;
  const fault = expectFault(await awaitCall(timer, setUp(t).start(worker).end));
  t.like(fault, { outcome: Outcome.Failed, peer: 'w1', step: 'generate' });
});

test('a stream that is silent for longer than the idle timeout ends', async (t) => {
  const server = await serveEngine(t);
  const { timer, start } = setUp(t);
  const stream = start(server.worker, createGeneration({ maxTokens: 400 }));
  while (stream.tokens.length < 2) await server.timer.advance(5);
  await timer.advance(60_000);
  t.like(expectFault(await stream.end), {
    code: FaultCode.Timeout,
    outcome: Outcome.OutcomeUnknown,
  });
});

test('load reports, KV caches and cancellations are transferred unchanged', async (t) => {
  const { timer, engine, worker } = await serveEngine(t, { loadReportIntervalMs: 0 });
  const { client, start } = setUp(t);
  await awaitCall(timer, start(worker).end);
  t.deepEqual(expectValue(await client.readLoad(worker, 0)), engine.readLoad(0));
  const cache = expectValue(await client.exportCache(worker, 'r1'));
  t.true((await client.importCache(worker, 'r2', cache)).isOk());
  t.deepEqual(expectValue(await client.exportCache(worker, 'r2')), cache);
  t.true((await client.cancel(worker, 'unknown')).isOk());
});

test('a plain call forwards method, path, headers and body, and returns the id of the response', async (t) => {
  const { timer, service, worker } = await servePlainService(t);
  const { client } = setUp(t);
  const response = expectValue(
    await awaitCall(timer, client.call(worker, createRequest('r1'), signal)),
  );
  t.deepEqual([response.requestId, response.status], ['r1', 200]);
  t.deepEqual(JSON.parse(Buffer.from(response.body).toString()), {
    requestId: 'r1',
    method: 'POST',
    path: '/orders?dry=1',
    echo: 'content',
  });
  service.responseFaults.wrongIdChance = 1;
  const wrong = await awaitCall(timer, client.call(worker, createRequest('r2'), signal));
  t.not(expectValue(wrong).requestId, 'r2');
});

test('a rejected call is not-run and did not run; a call with a lost reply is unknown and ran once', async (t) => {
  const { timer, service, worker } = await servePlainService(t);
  const { client } = setUp(t);
  service.responseFaults.refusalChance = 1;
  const refused = await client.call(worker, createRequest('r1'), signal);
  t.is(expectFault(refused).outcome, Outcome.NotRun);
  t.is(service.executions.get('r1'), undefined);
  service.responseFaults.refusalChance = 0;
  service.faults.lostReplyChance = 1;
  const lost = await awaitCall(timer, client.call(worker, createRequest('r2'), signal));
  t.is(expectFault(lost).outcome, Outcome.OutcomeUnknown);
  t.is(service.executions.get('r2'), 1);
});

test('without x-outcome a server error has an unknown outcome and a client error has failed', async (t) => {
  const { client } = setUp(t);
  const order = { kind: OrderKind.LoadModel, target: 'x', fence: 1 };
  const unavailable = await serveResponse(t, 503, { 'retry-after': '2' }, 'busy');
  t.like(expectFault(await client.sendOrder(unavailable, order)), {
    outcome: Outcome.OutcomeUnknown,
    retryAfterMs: 2000,
  });
  const rejected = await serveResponse(t, 400, {}, 'no');
  t.is(expectFault(await client.sendOrder(rejected, order)).outcome, Outcome.Failed);
});

test('a call cancelled before it is sent is not-run', async (t) => {
  const { service, worker } = await servePlainService(t);
  const { client } = setUp(t);
  const fault = expectFault(await client.call(worker, createRequest('r1'), AbortSignal.abort()));
  t.deepEqual([fault.code, fault.outcome], [FaultCode.Cancelled, Outcome.NotRun]);
  t.is(service.executions.size, 0);
});
