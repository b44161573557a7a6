import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { request, type Dispatcher } from 'undici';
import { createAgent, createPool } from './index.js';

const BODY = 'four bytes and more';

/** How far the server gets before the end. */
const PART = BODY.slice(0, 4);

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

interface Framing {
  head: string;
  part: string;
  rest: string;
}

const FRAMINGS: Record<string, Framing> = {
  length: { head: `Content-Length: ${BODY.length}`, part: PART, rest: BODY.slice(PART.length) },
  chunks: {
    head: 'Transfer-Encoding: chunked',
    part: toChunk(PART),
    rest: `${toChunk(BODY.slice(PART.length))}0\r\n\r\n`,
  },
  neither: { head: 'Content-Type: text/plain', part: PART, rest: BODY.slice(PART.length) },
};

/** Time for the first part to arrive before the connection fails. */
const PART_MS = 10;

const afterPart = (act: () => void): void => {
  setTimeout(act, PART_MS);
};

const ENDS: Record<string, (socket: Socket, rest: string) => void> = {
  'complete, then closed': (socket, rest) => socket.end(rest),
  'closed early': (socket) => afterPart(() => socket.end()),
  'reset early': (socket) => afterPart(() => socket.resetAndDestroy()),
  'reset before its body': (socket) => socket.resetAndDestroy(),
};

const KEPT = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';

/** Starts a server that answers the first request on a kept connection before the one of the case. */
const serve = async (
  t: ExecutionContext,
  isKept: boolean,
  answer: (socket: Socket) => void,
): Promise<string> => {
  const server = createServer((socket) => {
    let requests = isKept ? 0 : 1;
    socket.on('error', () => {});
    socket.on('data', () => {
      requests += 1;
      if (requests === 1) socket.write(KEPT);
      else answer(socket);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const describeResponse = async (origin: string, dispatcher: Dispatcher): Promise<string> => {
  try {
    const { statusCode, body } = await request(origin, { dispatcher });
    return `${statusCode} ${await body.text()}`;
  } catch {
    return 'failed';
  }
};

const DISPATCHERS = {
  pool: (origin: string) => createPool(origin, { connections: 1 }),
  agent: () => createAgent({ connections: 1 }),
};

// A response without a length counted as complete when its connection was reset.
test('a response is complete only if its length, its last chunk or an orderly close proves it', async (t) => {
  const seen: Record<string, string> = {};
  for (const [framingName, { head, part, rest }] of Object.entries(FRAMINGS)) {
    for (const [endName, end] of Object.entries(ENDS)) {
      for (const isKept of [false, true]) {
        for (const [dispatcherName, createDispatcher] of Object.entries(DISPATCHERS)) {
          const origin = await serve(t, isKept, (socket) => {
            const isEmpty = endName === 'reset before its body';
            socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${isEmpty ? '' : part}`, () =>
              end(socket, rest),
            );
          });
          const dispatcher = createDispatcher(origin);
          if (isKept) await describeResponse(origin, dispatcher);
          const name = `${framingName}, ${endName}, ${isKept ? 'kept' : 'new'} connection`;
          const outcome = await describeResponse(origin, dispatcher);
          t.is((seen[name] ??= outcome), outcome, dispatcherName);
          await dispatcher.destroy();
        }
      }
    }
  }
  t.snapshot(seen);
});

test('a refused connection fails the request', async (t) => {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  server.close();
  await once(server, 'close');
  for (const createDispatcher of Object.values(DISPATCHERS)) {
    const dispatcher = createDispatcher(origin);
    await t.throwsAsync(request(origin, { dispatcher }), { code: 'ECONNREFUSED' });
    await dispatcher.destroy();
  }
});
