import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import process from 'node:process';
import test, { type ExecutionContext } from 'ava';
import { FaultCode } from '@jujubelanding/errors';
import { SystemTimer } from '@jujubelanding/timer';
import { createBackendServersClient } from './index.js';

/** Half of the memory of an entry VM; the other half is in use without load. */
const MAX_MEMORY_GROWTH_BYTES = 128 * 1024 * 1024;

const FAULTY_WORKERS = 10;

const IDLE_TIMEOUT_MS = 3000;

const SAMPLE_INTERVAL_MS = 5;

const filler = Buffer.alloc(64 * 1024, 'x');

const HEADS = {
  'a success': 'HTTP/1.1 200 OK\r\n\r\n',
  'a failure': 'HTTP/1.1 500 Error\r\nContent-Length: 99999999999\r\n\r\n',
  'a refusal': 'HTTP/1.1 503 Busy\r\nx-outcome: not-run\r\n\r\n',
};

const sendWithoutEnd = (socket: Socket): void => {
  const send = (): void => {
    while (!socket.destroyed && socket.write(filler));
  };
  socket.on('drain', send);
  send();
};

const serve = async (t: ExecutionContext, answer: (socket: Socket) => void) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return { id: 'w', address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

const REQUEST = { requestId: 'r1', method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0) };

// Each response was buffered up to 128 MiB, so that two faulty workers used up the memory of a VM.
for (const [name, head] of Object.entries(HEADS)) {
  test.serial(
    `ten bodies without end of ${name} use bounded memory, and others are read`,
    async (t) => {
      const client = createBackendServersClient({
        timer: new SystemTimer(),
        idleTimeoutMs: IDLE_TIMEOUT_MS,
      });
      t.teardown(() => client.close());
      const faulty = await serve(t, (socket) => {
        socket.write(head);
        sendWithoutEnd(socket);
      });
      const sound = await serve(t, (socket) => {
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody');
      });
      const { signal } = new AbortController();
      const before = process.memoryUsage().rss;
      let largest = before;
      const sampling = setInterval(() => {
        largest = Math.max(largest, process.memoryUsage().rss);
      }, SAMPLE_INTERVAL_MS);
      const endless = Promise.all(
        Array.from({ length: FAULTY_WORKERS }, () =>
          client.call(faulty, REQUEST, new AbortController().signal),
        ),
      );
      const read = await client.call(sound, REQUEST, signal);
      t.is(read.isOk() && Buffer.from(read.value.body).toString(), 'body');
      const replies = await endless;
      clearInterval(sampling);
      replies.forEach((reply) => t.is(reply.isErr() && reply.error.code, FaultCode.TooLarge));
      t.true(largest - before < MAX_MEMORY_GROWTH_BYTES, `${largest - before} bytes`);
    },
  );
}
