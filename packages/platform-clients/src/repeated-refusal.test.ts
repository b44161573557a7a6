import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import { Outcome } from '@jujubelanding/errors';
import { SystemTimer } from '@jujubelanding/timer';
import { createBackendServersClient } from './index.js';

/** Time in which a response that is complete frees its connection. */
const IDLE_MS = 30;

const REFUSAL = JSON.stringify({ code: 'overloaded', message: 'the queue is full' });

const FIELDS = 'HTTP/1.1 503 Busy\r\nx-outcome: not-run\r\n';

const REFUSALS = {
  'with a length': `${FIELDS}content-length: ${REFUSAL.length}\r\n\r\n${REFUSAL}`,
  'in chunks': `${FIELDS}transfer-encoding: chunked\r\n\r\n${REFUSAL.length.toString(16)}\r\n${REFUSAL}\r\n0\r\n\r\n`,
  'without a body': `${FIELDS}content-length: 0\r\n\r\n`,
};

/** Starts a worker that writes the same refusal for each request, also for those that it runs. */
const setUp = async (t: ExecutionContext, refusal: string) => {
  const sockets = new Set<Socket>();
  /** Number of requests on connections on which a refusal was sent before. */
  const counts = { ran: 0 };
  const server = createServer((socket) => {
    let isRefused = false;
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      if (!chunk.toString('latin1').includes('HTTP/1.1\r\n')) return;
      if (isRefused) counts.ran += 1;
      isRefused = true;
      socket.write(refusal);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const timer = new SystemTimer();
  const client = createBackendServersClient({ timer });
  t.teardown(async () => {
    await client.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const worker = { id: 'w1', address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
  return { client, worker, counts, timer };
};

type Client = ReturnType<typeof createBackendServersClient>;

const CALLS: Record<string, (client: Client, worker: { id: string; address: string }) => unknown> =
  {
    call: (client, worker) =>
      client.call(
        worker,
        { requestId: 'r1', method: 'POST', path: '/orders', headers: {}, body: Buffer.from('x') },
        new AbortController().signal,
      ),
    generation: (client, worker) =>
      client.generate(
        worker,
        { requestId: 'r1', model: 'base', messages: [], maxTokens: 8, resumeTokens: [] },
        () => {},
        new AbortController().signal,
      ),
    cancellation: (client, worker) => client.cancel(worker, 'r1'),
  };

// Most refusals name no request, so a copy of one was taken for the refusal of the next request on its
// connection, which the worker ran.
for (const [name, send] of Object.entries(CALLS)) {
  for (const [form, refusal] of Object.entries(REFUSALS)) {
    test(`after a refusal ${form}, no ${name} is sent on its connection`, async (t) => {
      const { client, worker, counts, timer } = await setUp(t, refusal);
      for (let sends = 0; sends < 3; sends += 1) {
        const reply = (await send(client, worker)) as Awaited<ReturnType<Client['cancel']>>;
        t.is(reply.isErr() && reply.error.outcome, Outcome.NotRun);
        const message =
          form === 'without a body' ? 'w1 responded with status 503' : 'the queue is full';
        t.is(reply.isErr() && reply.error.message, message);
        await timer.sleep(IDLE_MS);
      }
      t.is(counts.ran, 0);
    });
  }
}

test('a refusal of another request does not prove that a call did not run', async (t) => {
  const foreign = REFUSALS['with a length'].replace('\r\n', '\r\nx-request-id: r0\r\n');
  const { client, worker } = await setUp(t, foreign);
  const reply = (await CALLS.call!(client, worker)) as Awaited<ReturnType<Client['call']>>;
  t.is(reply.isOk() && reply.value.requestId, 'r0', 'the caller checks the id');
});

// A failed batch item is sent again; a late copy of its failure ended the next run, whichever item it was of.
for (const [name, send] of Object.entries(CALLS)) {
  test(`after a failure, no ${name} is sent on its connection`, async (t) => {
    const failure = 'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nfailed';
    const { client, worker, counts, timer } = await setUp(t, failure);
    for (let sends = 0; sends < 3; sends += 1) {
      await send(client, worker);
      await timer.sleep(IDLE_MS);
    }
    t.is(counts.ran, 0);
  });
}
