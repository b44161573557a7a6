/** A caller that keeps to the limits and is slow. */
import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

const INTERVAL_MS = 100;

export interface SlowRequest {
  address: string;
  /** Head of the request, which asks for the end of the connection. */
  head: Buffer;
  body: Buffer;
  /** Number of pieces that the body is sent in. */
  pieces: number;
  /** Bytes of the response that are read at a time. */
  readBytes: number;
  /** Number of reads at this rate; the rest is read at once. */
  reads: number;
}

/** Sends a request and reads its response steadily; returns all bytes received until the connection ends. */
export const callSlowly = async (options: SlowRequest): Promise<Buffer> => {
  const { address, head, body, pieces, readBytes, reads } = options;
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const received: Buffer[] = [];
  socket.on('error', () => {});
  const closed = once(socket, 'close');
  // Without a reader, the socket takes no more than its buffer.
  const keepPaused = (): void => {};
  socket.on('readable', keepPaused);
  socket.write(head);
  const size = Math.ceil(body.length / pieces);
  for (let sent = 0; sent < body.length && socket.writable; sent += size) {
    socket.write(body.subarray(sent, sent + size));
    await sleep(INTERVAL_MS);
  }
  for (let count = 0; count < reads && !socket.destroyed;) {
    const bytes = socket.read(Math.min(readBytes, socket.readableLength)) as Buffer | null;
    if (bytes !== null) {
      received.push(bytes);
      count += 1;
    }
    await sleep(INTERVAL_MS);
  }
  socket.off('readable', keepPaused);
  socket.on('data', (bytes) => received.push(bytes));
  socket.resume();
  await closed;
  return Buffer.concat(received);
};
