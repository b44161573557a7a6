import test from 'ava';
import { createResult, ApiUnderTest } from './fixtures/api.js';

const createItem = (itemId: string, change = {}) => ({
  itemId,
  messages: [{ role: 'user', content: 'a "quoted\\" [text] {}' }],
  ...change,
});

const formatNdjson = (items: unknown[]): string =>
  items.map((item) => `${JSON.stringify(item)}\n`).join('');

const NDJSON = { 'content-type': 'application/x-ndjson' };

test('NDJSON and JSON bodies create the same job, even when received in small chunks', async (t) => {
  const items = [createItem('x'), createItem('ÿ', { maxTokens: 5 })];
  const bodies: [string, string, string][] = [
    ['application/x-ndjson', '/v1/batches?model=base&dueInMs=1000', formatNdjson(items)],
    [
      'application/json',
      '/v1/batches',
      JSON.stringify({ model: 'base', dueInMs: 1000, items }, null, 2),
    ],
  ];
  for (const [type, path, text] of bodies) {
    const api = new ApiUnderTest();
    const bytes = Buffer.from(text);
    const body = new ReadableStream({
      start: (controller) => {
        for (let at = 0; at < bytes.length; at += 3) controller.enqueue(bytes.subarray(at, at + 3));
        controller.close();
      },
    });
    const init = { method: 'POST', body, duplex: 'half', headers: { 'content-type': type } };
    const response = await api.request(path, init as RequestInit);
    t.is(response.status, 201);
    const [submission] = api.submissions;
    t.deepEqual(submission?.items, [
      { ...createItem('x'), maxTokens: 100 },
      { ...createItem('ÿ'), maxTokens: 5 },
    ]);
    t.is(submission!.dueAt, api.timer.wallClock() + 1000);
  }
});

test('a job class gives model, adapter, due time and attempts', async (t) => {
  const api = new ApiUnderTest();
  const body = { job: 'nightly', items: [createItem('x')] };
  const response = await api.post('/v1/batches', body, { 'idempotency-key': 'k' });
  t.snapshot(await response.json());
  t.like(api.submissions[0], {
    model: 'base',
    adapter: 'poet',
    jobClass: 'nightly',
    maxAttempts: 2,
  });
  const resent = await api.post('/v1/batches', body, { 'idempotency-key': 'k' });
  t.is(resent.status, 200);
  t.like(await resent.json(), { resent: true });
});

test('a submission without a key gets one', async (t) => {
  const api = new ApiUnderTest();
  const response = await api.post('/v1/batches', { model: 'base', items: [createItem('x')] });
  t.is(response.headers.get('idempotency-key'), api.submissions[0]!.idempotencyKey);
});

test('faults of a submission name the line or item and the field; nothing is stored', async (t) => {
  const api = new ApiUnderTest();
  const good = createItem('x');
  const path = '/v1/batches?model=base';
  const lines: unknown[][] = [
    [good, createItem('y', { messages: [{ role: 'user' }] })],
    [good, createItem('x')],
    [good, createItem('y', { max_tokens: 3 })],
    [createItem('y', { maxTokens: 101 })],
    ['a', 'b', 'c', 'd'].map((id) => createItem(id)),
    [createItem('long', { messages: [{ role: 'user', content: 'x'.repeat(2000) }] })],
    [],
  ];
  const bodies = [
    `{"model":"base","items":[${JSON.stringify(good)},\n{"itemId":""}]}`,
    `{"model":"base","items":[${JSON.stringify(good)}`,
    `{"items":[],"model":"base"}`,
    `{"model":"base","items":[${JSON.stringify(good)},]}`,
    `{"model":"base","dueInMs":-1,"items":[${JSON.stringify(good)}]}`,
    `{"model":"none","items":[${JSON.stringify(good)}]}`,
    `{"job":"nightly","model":"base","items":[${JSON.stringify(good)}]}`,
    '[]',
  ];
  const recorded: unknown[] = [];
  const record = async (response: Response): Promise<void> => {
    const { detail } = (await response.json()) as { detail: string };
    recorded.push([response.status, detail]);
  };
  for (const items of lines) await record(await api.post(path, formatNdjson(items), NDJSON));
  await record(await api.post(path, `${JSON.stringify(good)}\n{"itemId"\n`, NDJSON));
  for (const body of bodies) await record(await api.post('/v1/batches', body));
  t.snapshot(recorded);
  t.is(api.submissions.length, 0);
});

test('a team sees only its own jobs', async (t) => {
  const api = new ApiUnderTest();
  const body = { model: 'base', items: [createItem('x')] };
  const { id } = (await (await api.post('/v1/batches', body)).json()) as { id: string };
  const paths: [string, string][] = [
    ['GET', `/v1/batches/${id}`],
    ['GET', `/v1/batches/${id}/results`],
    ['POST', `/v1/batches/${id}/cancel`],
  ];
  for (const [method, path] of paths) {
    t.is((await api.request(path, { method, key: 'key-b' })).status, 404);
    t.is((await api.request(path, { method })).status, 200);
  }
  const list = await api.request('/v1/batches', { key: 'key-b' });
  t.deepEqual(await list.json(), { jobs: [] });
});

test('results are streamed as lines; a failure midway aborts the response', async (t) => {
  const api = new ApiUnderTest();
  await api.post(
    '/v1/batches',
    { model: 'base', items: [createItem('x')] },
    { 'idempotency-key': 'k' },
  );
  api.results = async function* readTwo() {
    yield createResult(0);
    yield createResult(1);
  };
  const path = '/v1/batches/job-a-k/results';
  const complete = await api.request(`${path}?from=0&to=2`);
  t.is(await complete.text(), formatNdjson([createResult(0), createResult(1)]));
  api.results = async function* failAfterOne() {
    yield createResult(0);
    throw new Error('segment lost');
  };
  const broken = await api.request(path);
  await t.throwsAsync(broken.text());
  t.is((await api.request(`${path}?from=-1`)).status, 400);
});
