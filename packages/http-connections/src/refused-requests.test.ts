import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import type { Dispatcher } from 'undici';
import { createPool } from './index.js';

const CONNECTIONS = 3;

const WAIT_MS = 1000;

/** Requests that cannot be written. */
const REFUSED: Record<string, Partial<Dispatcher.DispatchOptions>> = {
  'a header of one connection': { headers: { 'keep-alive': 'timeout=5' } },
  'a transfer encoding': { headers: { 'transfer-encoding': 'chunked' } },
  'an expectation': { headers: { expect: '100-continue' } },
  'an upgrade': { headers: { upgrade: 'websocket' } },
  'a connection header that names others': { headers: { connection: 'x-note' } },
  'a length of another body': { headers: { 'content-length': '5' }, body: 'four' },
  'a length that is no number': { headers: { 'content-length': 'many' } },
  'a header name with a space': { headers: { 'x note': 'a' } },
  'a header value with a line feed': { headers: { 'x-note': 'a\nb' } },
  'a header value beyond Latin-1': { headers: { 'x-note': '\u{65e5}' } },
  'a path with a space': { path: '/a b' },
  'a path beyond Latin-1': { path: '/\u{65e5}' },
  'a method with a space': { method: 'A B' as Dispatcher.HttpMethod },
};

const setUp = async (t: ExecutionContext) => {
  const server = createServer((_request, response) => response.end('served'));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const pool = createPool(`http://127.0.0.1:${port}`, { connections: CONNECTIONS, pipelining: 1 });
  t.teardown(async () => {
    await pool.destroy();
    server.close();
  });
  const send = (options: Partial<Dispatcher.DispatchOptions> = {}): Promise<string> =>
    new Promise((resolve) => {
      let body = '';
      setTimeout(() => resolve('no connection'), WAIT_MS).unref();
      pool.dispatch(
        { method: 'POST', path: '/', ...options },
        {
          onConnect: () => {},
          onHeaders: () => true,
          onData: (chunk) => {
            body += chunk.toString();
            return true;
          },
          onComplete: () => resolve(body),
          onError: () => resolve('refused'),
        },
      );
    });
  return { pool, send };
};

// Each request that could not be written took a connection of its pool for good, until none was left.
for (const [name, options] of Object.entries(REFUSED)) {
  test(`requests with ${name} leave all connections usable`, async (t) => {
    const { send } = await setUp(t);
    for (let count = 0; count < CONNECTIONS; count += 1) {
      t.is(await send(options), 'refused');
    }
    const answers = await Promise.all(Array.from({ length: 2 * CONNECTIONS }, () => send()));
    t.deepEqual(answers, new Array(2 * CONNECTIONS).fill('served'));
  });
}

test('requests that wait while all connections are taken follow a refused one', async (t) => {
  const { send } = await setUp(t);
  const served = Array.from({ length: CONNECTIONS }, () => send());
  const refused = send({ path: '/a b' });
  const waiting = Array.from({ length: CONNECTIONS }, () => send());
  t.is(await refused, 'refused');
  t.deepEqual(
    await Promise.all([...served, ...waiting]),
    new Array(2 * CONNECTIONS).fill('served'),
  );
});

test('a pool that is closed refuses requests', async (t) => {
  const { pool, send } = await setUp(t);
  t.is(await send(), 'served');
  await pool.close();
  t.is(await send(), 'refused');
  t.is(await send({ path: '/a b' }), 'refused');
});
