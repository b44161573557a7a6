/** A worker of the platform on loopback that answers with event streams. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';

/**
 * @param id id of the worker
 * @param answer called with each request that the worker runs: `{ id, path, lastEventId, body, response,
 *   head }`; it writes the answer
 */
export class Worker {
  address = '';

  running = 0;

  state = 'ready';

  #born = Date.now();

  #server;

  constructor(id, { service, zone = 'a', slots = 8, answer }) {
    Object.assign(this, { id, service, zone, slots, answer });
    this.#server = createServer((request, response) => {
      this.#accept(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  async listen(port = 0) {
    await new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The entry with which the worker registers itself in the store. */
  describe() {
    const { service, address, zone, slots, state } = this;
    return {
      service,
      address,
      zone,
      version: 1,
      slots,
      state,
      coldLeftMs: 0,
      seq: 1,
      born: this.#born,
    };
  }

  async #accept(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const { headers } = request;
    const id = String(headers['jujubelanding-attempt-id'] ?? '');
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Jujubelanding-Instance-Id': this.id }).end();
      return;
    }
    const echo = {
      'Jujubelanding-Attempt-Id': id,
      'Jujubelanding-Instance-Load': `${this.running},0,${this.slots}`,
    };
    const refuse = (status) =>
      response.writeHead(status, { ...echo, 'Jujubelanding-Not-Executed': '1' }).end();
    const expected = headers['jujubelanding-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      refuse(421);
      return;
    }
    if (this.running >= this.slots) {
      refuse(503);
      return;
    }
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    const lastEventId = headers['last-event-id'];
    this.answer({
      id,
      path: request.url,
      lastEventId: lastEventId === undefined ? undefined : Number(lastEventId),
      headers,
      body: Buffer.concat(chunks),
      worker: this,
      response,
      head: { ...echo, 'Jujubelanding-Response-Signature': `s.${this.id}.${id}` },
    });
  }
}

/** Writes events `after + 1` to `count` of a stream, one each `gapMs`; stops if the sender leaves. */
export const writeEvents = (response, head, { after, count, gapMs, dataOf }) => {
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
  let next = after + 1;
  const send = () => {
    if (response.destroyed) return;
    if (next > count) {
      response.end();
      return;
    }
    response.write(`id: ${next}\ndata: ${dataOf(next)}\n\n`);
    next += 1;
    setTimeout(send, gapMs);
  };
  setTimeout(send, gapMs);
};
