import test, { type ExecutionContext } from 'ava';
import { request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { err } from 'neverthrow';
import { ApiUnderTest } from './fixtures/api.js';

const FAULT = { code: FaultCode.Cancelled, outcome: Outcome.OutcomeUnknown, step: '', message: '' };

const PATH = '/v1/chat/completions';

const HEADERS = { authorization: 'Bearer key-a', 'content-type': 'application/json' };

const CHAT = { model: 'base', messages: [{ role: 'user', content: 'hello' }] };

for (const stream of [true, false]) {
  test(`a closed connection cancels the dispatch and frees its permits, stream ${stream}`, async (t) => {
    const api = new ApiUnderTest();
    const dispatched = new Promise<AbortSignal>((resolve) => {
      api.generate = (_request, send, signal) => {
        if (stream) send('one');
        resolve(signal);
        return new Promise((end) => {
          signal.addEventListener('abort', () => end(err(FAULT)));
        });
      };
    });
    const server = serve({ fetch: api.fetch, port: 0, hostname: '127.0.0.1' });
    await new Promise((resolve) => {
      server.once('listening', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const target = { host: '127.0.0.1', port, path: PATH, method: 'POST', headers: HEADERS };
    const call = request(target);
    call.on('error', () => {});
    call.end(JSON.stringify({ ...CHAT, stream }));
    const signal = await dispatched;
    const aborted = new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    call.destroy();
    await aborted;
    await api.timer.flushPromises();
    t.is(api.heldPermits, 0);
    server.close();
  });
}

const serveApi = async (t: ExecutionContext, api: ApiUnderTest): Promise<string> => {
  const server = serve({ fetch: api.fetch, port: 0, hostname: '127.0.0.1' });
  await new Promise((resolve) => {
    server.once('listening', resolve);
  });
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}${PATH}`;
};

const post = (url: string, body: unknown) =>
  fetch(url, { method: 'POST', headers: HEADERS, body: JSON.stringify(body) });

test('a streamed response over HTTP equals the one of the fetch interface, including its id', async (t) => {
  const api = new ApiUnderTest();
  const url = await serveApi(t, api);
  const served = await post(url, { ...CHAT, stream: true });
  const direct = await new ApiUnderTest().post(PATH, { ...CHAT, stream: true });
  t.is(served.status, 200);
  t.is(served.headers.get('content-type'), direct.headers.get('content-type'));
  t.is(served.headers.get('cache-control'), direct.headers.get('cache-control'));
  t.is(served.headers.get('x-request-id'), api.generations[0]!.generation.requestId);
  t.is(await served.text(), await direct.text());
  t.is(api.heldPermits, 0);
});

test('a fault in mid-stream over HTTP is sent as an error event, and there is no [DONE]', async (t) => {
  const api = new ApiUnderTest();
  api.generate = async (_request, send) => {
    send('one');
    return err(FAULT);
  };
  const text = await (await post(await serveApi(t, api), { ...CHAT, stream: true })).text();
  t.true(text.includes('event: error\n'));
  t.false(text.includes('[DONE]'));
});

test('a fault before the first token over HTTP is returned with its own status', async (t) => {
  const api = new ApiUnderTest();
  api.generate = async () => err({ ...FAULT, code: FaultCode.Interrupted });
  const response = await post(await serveApi(t, api), { ...CHAT, stream: true });
  t.is(response.status, 502);
  t.is(response.headers.get('content-type'), 'application/problem+json');
});

test('a response whose dispatch throws is aborted, so that it cannot pass for complete', async (t) => {
  const api = new ApiUnderTest();
  api.generate = async (_request, send) => {
    send('one');
    await Promise.resolve();
    throw new Error('broken');
  };
  const url = await serveApi(t, api);
  await t.throwsAsync(async () => (await post(url, { ...CHAT, stream: true })).text());
});

test('a body over the limit is rejected, with and without a content-length header', async (t) => {
  const api = new ApiUnderTest();
  const url = await serveApi(t, api);
  const body = JSON.stringify({ ...CHAT, messages: [{ role: 'user', content: 'x'.repeat(3000) }] });
  t.is((await fetch(url, { method: 'POST', headers: HEADERS, body })).status, 413);
  const parts = new ReadableStream<Uint8Array>({
    start: (controller) => {
      controller.enqueue(new TextEncoder().encode(body));
      controller.close();
    },
  });
  const init = { method: 'POST', headers: HEADERS, body: parts, duplex: 'half' } as RequestInit;
  t.is((await fetch(url, init)).status, 413);
  t.is(api.generations.length, 0);
});
