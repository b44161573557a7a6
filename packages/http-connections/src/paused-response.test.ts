import { once } from 'node:events';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import test from 'ava';
import type { Dispatcher } from 'undici';
import { createPool } from './index.js';

const PART = 'four bytes and more';

const HEADS: Record<string, string> = {
  'a length': `Connection: close\r\nContent-Length: ${2 * PART.length}`,
  'chunks that are not kept': 'Connection: close\r\nTransfer-Encoding: chunked',
  'no length': 'Content-Type: text/plain',
};

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const WHOLE = `complete: ${PART}${PART}`;

/** Time for the reader to be paused by what has arrived. */
const PAUSE_MS = 20;

/** How the connection ends while the reader of the response is paused. */
const ENDS: Record<string, (socket: Socket, frame: (text: string) => string) => void> = {
  reset: (socket) => setTimeout(() => socket.resetAndDestroy(), PAUSE_MS),
  'reset with the last part': (socket, frame) =>
    setTimeout(() => socket.write(frame(PART), () => socket.resetAndDestroy()), PAUSE_MS),
  closed: (socket) => setTimeout(() => socket.end(), PAUSE_MS),
  'closed with the last part': (socket, frame) =>
    setTimeout(() => socket.end(frame(PART)), PAUSE_MS),
};

/** Reads a response and pauses after each part of it for a while. */
const readSlowly = (dispatcher: Dispatcher): Promise<string> =>
  new Promise((resolve) => {
    let text = '';
    let resume = (): void => {};
    dispatcher.dispatch(
      { method: 'GET', path: '/' },
      {
        onConnect: () => {},
        onHeaders: (_status, _headers, resumeResponse) => {
          resume = resumeResponse;
          return true;
        },
        onData: (chunk) => {
          text += chunk.toString();
          setTimeout(() => resume(), 3 * PAUSE_MS);
          return false;
        },
        onComplete: () => resolve(`complete: ${text}`),
        onError: () => resolve('failed'),
      },
    );
  });

// A response whose caller read slowly ended the process when its connection closed meanwhile.
test('a connection that ends while its reader is paused ends only its response', async (t) => {
  const seen: Record<string, string> = {};
  for (const [headName, head] of Object.entries(HEADS)) {
    for (const [endName, end] of Object.entries(ENDS)) {
      const frame = headName.startsWith('chunks') ? toChunk : (text: string) => text;
      const server = createServer((socket) => {
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\n${frame(PART)}`);
          end(socket, frame);
        });
      });
      server.listen(0, '127.0.0.1');
      await once(server, 'listening');
      const { port } = server.address() as AddressInfo;
      const pool = createPool(`http://127.0.0.1:${port}`, { connections: 1 });
      const name = `${headName}, ${endName}`;
      const outcome = await readSlowly(pool);
      if (endName.startsWith('reset')) {
        // The last part may arrive before the reset, and proves the end if the response states its length.
        const isProven = outcome === WHOLE && headName !== 'no length';
        t.true(outcome === 'failed' || isProven, `${name}: ${outcome}`);
      } else seen[name] = outcome;
      await pool.destroy();
      server.close();
    }
  }
  t.snapshot(seen);
});
