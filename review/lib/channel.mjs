/**
 * A channel of a worker: HTTP/1.1 over TCP, one request at a time. The bytes of answers are written as they
 * are, so that a case decides how an answer is framed and how it breaks off.
 */
import { Buffer } from 'node:buffer';

const HEAD_END = '\r\n\r\n';

const REASONS = { 200: 'OK', 421: 'Misdirected Request', 422: 'Unprocessable', 500: 'Error' };

const parseHead = (text) => {
  const [first, ...lines] = text.split('\r\n');
  const [method, path] = first.split(' ');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { method, path, headers };
};

/** One channel of a worker, on which requests are answered in order. */
export class Channel {
  /** Bytes of an answer that are sent just before the next answer. */
  late;

  #received = Buffer.alloc(0);

  #isBusy = false;

  constructor(socket, worker) {
    this.socket = socket;
    this.worker = worker;
    socket.on('data', (chunk) => {
      this.#received = Buffer.concat([this.#received, chunk]);
      void this.#next();
    });
    socket.on('error', () => {});
  }

  get isOpen() {
    return !this.socket.destroyed && this.socket.writable;
  }

  write(text) {
    if (this.isOpen) this.socket.write(text);
  }

  /** Writes a head; without a framing header the answer ends with the channel. */
  writeHead(status, headers) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    this.write(
      ['HTTP/1.1 '.concat(status, ' ', REASONS[status] ?? 'Status'), ...lines, '', ''].join('\r\n'),
    );
  }

  writeChunk(text) {
    this.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
  }

  async #next() {
    if (this.#isBusy) return;
    const end = this.#received.indexOf(HEAD_END);
    if (end < 0) return;
    const request = parseHead(this.#received.subarray(0, end).toString('latin1'));
    const bodyStart = end + HEAD_END.length;
    const length = Number(request.headers['content-length'] ?? 0);
    if (this.#received.length < bodyStart + length) return;
    request.body = this.#received.subarray(bodyStart, bodyStart + length);
    request.id = request.headers['jujubelanding-attempt-id'];
    this.#received = this.#received.subarray(bodyStart + length);
    this.#isBusy = true;
    await this.worker.answer(request, this);
    this.#isBusy = false;
    void this.#next();
  }
}
