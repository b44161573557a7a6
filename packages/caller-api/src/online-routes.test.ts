import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { Idempotency } from '@jujubelanding/types';
import { err, ok } from 'neverthrow';
import { ApiUnderTest } from './fixtures/api.js';

const CHAT = { model: 'base', messages: [{ role: 'user', content: 'hello' }] };

const CHAT_PATH = '/v1/chat/completions';

const FAULT = {
  code: FaultCode.Interrupted,
  outcome: Outcome.OutcomeUnknown,
  step: 'stream',
  peer: 'w1',
  message: 'broken',
};

test('a complete response has the chat completions format', async (t) => {
  const api = new ApiUnderTest();
  const response = await api.post(CHAT_PATH, { ...CHAT, max_tokens: 7 });
  t.is(response.status, 200);
  t.snapshot(await response.json());
  t.like(api.generations[0], {
    team: 'a',
    idempotency: Idempotency.Idempotent,
    deadline: 5000,
    generation: { model: 'base', maxTokens: 7, requestId: response.headers.get('x-request-id') },
  });
  t.is(api.heldPermits, 0);
});

test('a stream ends with [DONE] and holds its permits until then', async (t) => {
  const api = new ApiUnderTest();
  let finish = (): void => {};
  api.generate = (request, send) => {
    send('one');
    return new Promise((resolve) => {
      finish = () => {
        send(' two');
        resolve(ok(api.createEnd(request.generation.requestId)));
      };
    });
  };
  const response = await api.post(CHAT_PATH, { ...CHAT, stream: true });
  t.is(api.heldPermits, 2);
  finish();
  t.snapshot(await response.text());
  t.is(api.heldPermits, 0);
});

test('a fault in mid-stream is an error event, and the stream ends without [DONE]', async (t) => {
  const api = new ApiUnderTest();
  api.generate = async (_request, send) => {
    send('one');
    return err(FAULT);
  };
  const text = await (await api.post(CHAT_PATH, { ...CHAT, stream: true })).text();
  t.false(text.includes('[DONE]'));
  t.snapshot(text);
});

test('a fault before the first token has its own status, streamed or not', async (t) => {
  for (const stream of [true, false]) {
    const api = new ApiUnderTest();
    api.generate = async () => err(FAULT);
    const response = await api.post(CHAT_PATH, { ...CHAT, stream });
    t.is(response.status, 502);
    t.is(response.headers.get('content-type'), 'application/problem+json');
    t.like(await response.json(), { outcome: 'outcome-unknown', step: 'stream', peer: 'w1' });
    t.is(api.heldPermits, 0);
  }
});

// Durations of failed requests would count as a sign of when slots become free.
test('admission gets what the queue orders by, and whether the request was answered', async (t) => {
  const api = new ApiUnderTest();
  await api.post(CHAT_PATH, CHAT);
  await api.post('/services/ledger/x', '12345');
  const deadline = api.timer.now() + 5000;
  const [chat, call] = api.admissions;
  t.like(chat, { service: 'advisor', isStream: true, team: 'a', deadline });
  t.is(chat!.bodyBytes, JSON.stringify(CHAT).length);
  t.is(chat!.requestId, api.generations[0]!.generation.requestId);
  t.like(call, { service: 'ledger', isStream: false, team: 'a', deadline, bodyBytes: 5 });
  t.deepEqual(api.answered, [true, true]);
  api.generate = async () => err(FAULT);
  for (const stream of [true, false]) await api.post(CHAT_PATH, { ...CHAT, stream });
  t.deepEqual(api.answered, [true, true, false, false]);
});

test('the dispatch is cancelled when the caller disconnects from the stream', async (t) => {
  const api = new ApiUnderTest();
  let signal: AbortSignal | undefined;
  api.generate = (_request, send, dispatchSignal) => {
    signal = dispatchSignal;
    send('one');
    return new Promise((resolve) => {
      dispatchSignal.addEventListener('abort', () => resolve(err(FAULT)));
    });
  };
  const response = await api.post(CHAT_PATH, { ...CHAT, stream: true });
  await response.body!.cancel();
  t.true(signal?.aborted);
  await api.timer.flushPromises();
  t.is(api.heldPermits, 0);
});

test('requests are rejected by the first middleware that applies, and nothing runs', async (t) => {
  const api = new ApiUnderTest();
  const limited = { code: FaultCode.RateLimited, outcome: Outcome.NotRun, step: 'limits' };
  const cases: [string, () => Promise<Response>][] = [
    ['no key', () => api.request(CHAT_PATH, { method: 'POST', key: '' })],
    ['unknown key', () => api.request('/v1/batches', { key: 'other' })],
    ['too large', () => api.post(CHAT_PATH, 'x'.repeat(2001))],
    ['not JSON', () => api.post(CHAT_PATH, '{')],
    ['wrong field', () => api.post(CHAT_PATH, { ...CHAT, messages: [{ role: 'user' }] })],
    ['unknown model', () => api.post(CHAT_PATH, { ...CHAT, model: 'other' })],
    ['too many tokens', () => api.post(CHAT_PATH, { ...CHAT, max_tokens: 101 })],
    ['invalid Idempotent header', () => api.post(CHAT_PATH, CHAT, { idempotent: 'no' })],
    ['model engine as plain service', () => api.post('/services/advisor/x', {})],
    ['no route', () => api.request('/v2/other')],
  ];
  const seen: unknown[] = [];
  for (const [name, send] of cases) {
    const response = await send();
    const { title, details, outcome } = (await response.json()) as Record<string, unknown>;
    seen.push({ name, status: response.status, title, details, outcome });
  }
  api.overloadFault = { ...limited, code: FaultCode.Overloaded, message: '', retryAfterMs: 1500 };
  const overloaded = await api.post(CHAT_PATH, CHAT);
  seen.push({ status: overloaded.status, retryAfter: overloaded.headers.get('retry-after') });
  api.limitFault = { ...limited, message: '', retryAfterMs: 20 };
  const refused = await api.post(CHAT_PATH, CHAT);
  seen.push({ status: refused.status, retryAfter: refused.headers.get('retry-after') });
  t.snapshot(seen);
  t.deepEqual([api.generations.length, api.calls.length, api.heldPermits], [0, 0, 0]);
});

test('a VM that is not ready serves only health checks and entry points', async (t) => {
  const api = new ApiUnderTest();
  api.isReady = false;
  const paths = ['/healthz', '/readyz', '/v1/entry-points?zone=b', '/v1/batches'];
  const statuses = await Promise.all(
    paths.map(async (path) => (await api.request(path, { key: '' })).status),
  );
  t.deepEqual(statuses, [200, 503, 200, 503]);
});

test('calls marked non-idempotent by header or service record are claimed and run once', async (t) => {
  const api = new ApiUnderTest();
  const key = { 'idempotency-key': 'k' };
  const send = () => api.post('/services/ledger/orders/1?dry=1', { count: 1 }, key);
  t.is((await send()).status, 207);
  t.is((await send()).status, 409);
  const chat = () => api.post(CHAT_PATH, CHAT, { ...key, idempotent: 'false' });
  t.is((await chat()).status, 200);
  t.is((await chat()).status, 409);
  await api.post('/services/ledger/stock', {}, key);
  t.is((await api.post('/services/ledger/stock', {}, key)).status, 207);
  t.deepEqual(
    api.calls.map(({ idempotency, request }) => [idempotency, request.path]),
    [
      [Idempotency.NonIdempotent, '/orders/1?dry=1'],
      [Idempotency.Idempotent, '/stock'],
      [Idempotency.Idempotent, '/stock'],
    ],
  );
});

test('a service call is forwarded with its body, but without authorization and connection headers', async (t) => {
  const api = new ApiUnderTest();
  const response = await api.post('/services/ledger/stock', 'body', { 'x-own': '1' });
  const { headers } = api.calls[0]!.request;
  t.deepEqual([headers['x-own'], headers.authorization], ['1', undefined]);
  t.deepEqual([response.headers.get('x-kept'), response.headers.get('connection')], ['yes', null]);
  t.is(await response.text(), 'body');
});

// Only headers of fixed names were left out, and a service got those of the caller's connection.
test('headers that a Connection header names stay on their connection', async (t) => {
  const api = new ApiUnderTest();
  const headers = { Connection: 'X-Hop', 'X-Hop': 'a', 'Proxy-Connection': 'keep-alive' };
  await api.post('/services/ledger/stock', 'body', { ...headers, 'X-Own': '1' });
  const forwarded = Object.keys(api.calls[0]!.request.headers);
  t.true(forwarded.includes('x-own'));
  t.false(forwarded.some((name) => ['connection', 'x-hop', 'proxy-connection'].includes(name)));
});

test('requests are counted by outcome, which separates rejections from failures', async (t) => {
  const api = new ApiUnderTest();
  await api.post(CHAT_PATH, CHAT);
  await api.post(CHAT_PATH, { ...CHAT, model: 'other' });
  await api.request('/v2/other');
  const outcomes = api.metrics.getSamples('caller_api.request').map(({ tags }) => tags.outcome);
  t.deepEqual(outcomes, ['succeeded', 'not-run', 'not-run']);
});
