// Guards against a recovery that takes one timeout for each idle connection that an outage has killed.
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import test from 'ava';
import { SystemTimer } from '@jujubelanding/timer';
import { HttpClient } from './index.js';

test('after a timeout, calls use new connections instead of idle ones', async (t) => {
  const deadPorts = new Set<number>();
  const seenPorts = new Set<number>();
  const waiting: ServerResponse[] = [];
  const server = createServer((message: IncomingMessage, response) => {
    const port = message.socket.remotePort!;
    seenPorts.add(port);
    if (deadPorts.has(port)) return;
    waiting.push(response);
    // Both calls of the first round are in progress at once, so that they use two connections.
    if (seenPorts.size >= 2) waiting.splice(0).forEach((open) => open.end());
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(
    new SystemTimer(),
    { connections: 4, connectTimeoutMs: 1000 },
    10_000,
  );
  const call = (timeoutMs?: number) =>
    client.send({
      step: 'test',
      peer: 'server',
      address: `127.0.0.1:${port}`,
      method: 'GET',
      path: '/',
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
    });
  const first = await Promise.all([call(), call()]);
  t.true(first.every((reply) => reply.isOk()));
  // The client counts a connection as idle only after it has handled the end of the response.
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  seenPorts.forEach((dead) => deadPorts.add(dead));
  t.true((await call(200)).isErr());
  t.true((await call(2000)).isOk());
  await client.close();
  server.close();
});
