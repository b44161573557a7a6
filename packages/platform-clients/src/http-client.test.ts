// Guards against a recovery that takes one timeout for each idle connection that an outage has killed.
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type ServerResponse,
} from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { SystemTimer } from '@jujubelanding/timer';
import type { CallRequest } from './http-client.js';
import { HttpClient } from './index.js';

type Change = Partial<CallRequest>;

const setUp = async (listener: RequestListener) => {
  const server = createServer(listener);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const limits = { connections: 4, connectTimeoutMs: 1000 };
  const client = new HttpClient(new SystemTimer(), limits, 10_000);
  const call = (path: string, timeoutMs?: number, change: Change = {}) =>
    client.send({
      step: 'test',
      peer: 'server',
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path,
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
      ...change,
    });
  const close = async () => {
    await client.close();
    server.close();
  };
  return { call, close };
};

/** The client counts a connection as idle only after it has handled the end of the response. */
const waitUntilIdle = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

test('after a timeout, calls use new connections instead of idle ones', async (t) => {
  const deadPorts = new Set<number>();
  const seenPorts = new Set<number>();
  const waiting: ServerResponse[] = [];
  const { call, close } = await setUp((message: IncomingMessage, response) => {
    const port = message.socket.remotePort!;
    seenPorts.add(port);
    if (deadPorts.has(port)) return;
    waiting.push(response);
    // Both calls of the first round are in progress at once, so that they use two connections.
    if (seenPorts.size >= 2) waiting.splice(0).forEach((open) => open.end());
  });
  const first = await Promise.all([call('/'), call('/')]);
  t.true(first.every((reply) => reply.isOk()));
  await waitUntilIdle();
  seenPorts.forEach((dead) => deadPorts.add(dead));
  t.true((await call('/', 200)).isErr());
  t.true((await call('/', 2000)).isOk());
  await close();
});

// Calls that were lost together time out one after another, and each closed the connections made meanwhile.
test('a later timeout of the same outage does not close the new connections', async (t) => {
  const ports: number[] = [];
  const { call, close } = await setUp((message, response) => {
    if (message.url === '/lost') return;
    ports.push(message.socket.remotePort!);
    response.end();
  });
  const lost = [call('/lost', 100), call('/lost', 300)];
  await lost[0];
  await call('/');
  await lost[1];
  await waitUntilIdle();
  await call('/');
  t.is(new Set(ports).size, 1);
  await close();
});

// An exception here ended the process, as callers rely on calls that never throw.
test('a call to an invalid address is a fault and not an exception', async (t) => {
  const client = new HttpClient(
    new SystemTimer(),
    { connections: 4, connectTimeoutMs: 1000 },
    10_000,
  );
  t.teardown(() => client.close());
  for (const address of ['127.0.0.1:99999', '999.1.1.1:80', '08.0.0.1:80', '', 'a b:1', '[:1']) {
    const reply = await client.send({
      step: 'test',
      peer: 'server',
      address,
      method: 'GET',
      path: '/',
    });
    t.is(reply.isErr() && reply.error.outcome, Outcome.NotRun, address);
  }
});

// Guards against connections that are lost to requests that cannot be written, and against a fault that says
// that the server is unavailable.
test('a request that cannot be written is invalid and leaves the connections to others', async (t) => {
  const { call, close } = await setUp((_message, response) => response.end());
  const unwritable: Change[] = [
    { headers: { 'keep-alive': 'timeout=5' } },
    { headers: { expect: '100-continue' } },
    { headers: { 'x-note': 'a\nb' } },
    { method: 'POST', headers: { 'content-length': '9' }, body: Buffer.from('four') },
    { path: '/a b' },
  ];
  for (const change of unwritable) {
    const reply = await call('/', 1000, change);
    t.like(reply.isErr() ? reply.error : {}, {
      code: FaultCode.InvalidInput,
      outcome: Outcome.NotRun,
    });
  }
  const replies = await Promise.all(Array.from({ length: 4 }, () => call('/')));
  t.true(replies.every((reply) => reply.isOk()));
  await close();
});

/** Ends of requests that have all connections and get no response. */
const ENDS: Record<string, (abort: AbortController) => Partial<CallRequest>> = {
  'cancelled before they are written': (abort) => {
    queueMicrotask(() => abort.abort());
    return {};
  },
  'cancelled while they wait for a response': (abort) => {
    setTimeout(() => abort.abort(), 50);
    return {};
  },
  'that time out': () => ({ timeoutMs: 50 }),
};

for (const [name, end] of Object.entries(ENDS)) {
  test(`requests ${name} give their connections back`, async (t) => {
    let isSilent = true;
    const { call, close } = await setUp((_message, response) => {
      if (!isSilent) response.end();
    });
    const waiting = Array.from({ length: 4 }, () => {
      const abort = new AbortController();
      return call('/', 10_000, { signal: abort.signal, ...end(abort) });
    });
    const refused = await call('/');
    t.is(refused.isErr() && refused.error.code, FaultCode.Overloaded);
    const ended = await Promise.all(waiting);
    t.true(ended.every((reply) => reply.isErr()));
    isSilent = false;
    const replies = await Promise.all(Array.from({ length: 4 }, () => call('/')));
    t.true(replies.every((reply) => reply.isOk()));
    await close();
  });
}
