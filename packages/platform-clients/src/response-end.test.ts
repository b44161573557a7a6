import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { FaultCode } from '@jujubelanding/errors';
import { VirtualTimer } from '@jujubelanding/timer';
import * as z from 'zod';
import { createBackendServersClient, HttpClient } from './index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n';

/** Time for the body to arrive before its connection is reset. */
const BODY_MS = 10;

const RESETS: Record<string, (socket: Socket, body: string) => void> = {
  'with its last bytes': (socket, body) => {
    socket.write(HEAD + body, () => socket.resetAndDestroy());
  },
  'after its last bytes': (socket, body) => {
    socket.write(HEAD + body, () => setTimeout(() => socket.resetAndDestroy(), BODY_MS));
  },
};

const serve = async (t: ExecutionContext, answer: (socket: Socket) => void): Promise<string> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const generation = {
  requestId: 'r1',
  model: 'base',
  messages: [],
  maxTokens: 8,
  resumeTokens: [],
};

const plainRequest = {
  requestId: 'r1',
  method: 'GET',
  path: '/orders',
  headers: {},
  body: Buffer.alloc(0),
};

// A response without a length counted as complete when its connection was reset.
for (const [name, reset] of Object.entries(RESETS)) {
  test(`a response without a length that is reset ${name} is interrupted, whoever reads it`, async (t) => {
    const timer = new VirtualTimer();
    const { signal } = new AbortController();
    const address = await serve(t, (socket) => reset(socket, '{"value":1}'));
    const worker = { id: 'w1', address };
    const backends = createBackendServersClient({ timer });
    const http = new HttpClient(timer, { connections: 1, connectTimeoutMs: 1000 }, 1000);
    t.teardown(() => Promise.all([backends.close(), http.close()]));
    const replies = {
      'plain call': await backends.call(worker, plainRequest, signal),
      generation: await backends.generate(worker, generation, () => {}, signal),
      cache: await backends.exportCache(worker, 'r1'),
      store: await http.call(
        { step: 'get', peer: 'store', address, method: 'GET', path: '/' },
        z.object({ value: z.number() }),
      ),
    };
    for (const [reader, reply] of Object.entries(replies)) {
      t.is(reply.isErr() && reply.error.code, FaultCode.Interrupted, reader);
    }
  });
}
