import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { createPool } from './index.js';

const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';

const STATUSES = [
  '000',
  '20',
  '099',
  '100',
  '101',
  '199',
  '200',
  '204',
  '503',
  '599',
  '600',
  '999',
];

const FRAMINGS: Record<string, string> = {
  length: 'Content-Length: 0\r\n\r\n',
  chunks: 'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
  neither: '\r\n',
};

// A response with the status 000 failed an assertion, and one with the status 999 counted as a response.
test('a response whose final status is not between 200 and 599 fails its request alone', async (t) => {
  const seen: Record<string, string> = {};
  for (const status of STATUSES) {
    for (const [framing, rest] of Object.entries(FRAMINGS)) {
      let isSound = true;
      const server = createServer((socket) => {
        socket.on('error', () => {});
        socket.on('data', () => {
          if (isSound) socket.write(SOUND);
          else socket.end(`HTTP/1.1 ${status} Any\r\n${rest}`);
        });
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
      const dispatcher = createPool(origin, { connections: 1 });
      const call = async (): Promise<string> => {
        try {
          const { statusCode, body } = await request(origin, { dispatcher });
          await body.dump();
          return String(statusCode);
        } catch (thrown) {
          const { message } = thrown as Error;
          return message.includes('status') ? message : 'failed';
        }
      };
      t.is(await call(), '200', 'the connection is in use before');
      isSound = false;
      seen[`${status}, ${framing}`] = await call();
      isSound = true;
      t.is(await call(), '200', 'the next request');
      await dispatcher.destroy();
      server.close();
    }
  }
  t.snapshot(seen);
});
