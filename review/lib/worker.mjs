/** Stand-in of a worker, whose answers a case decides. */
import { createServer } from 'node:net';
import { Channel } from './channel.mjs';

export class Worker {
  #server;

  #channels = new Set();

  /** @param answer handles a request: (request, channel, worker) => Promise */
  constructor(id, { service, slots = 8, zone = 'zone-1', answer }) {
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.zone = zone;
    this.handler = answer;
    this.running = 0;
  }

  async listen() {
    this.born = Date.now();
    this.#server = createServer({ noDelay: true }, (socket) => {
      const channel = new Channel(socket, this);
      this.#channels.add(channel);
      socket.once('close', () => this.#channels.delete(channel));
    });
    const [host, port] = (this.address ?? '127.0.0.1:0').split(':');
    await new Promise((resolve) => {
      this.#server.listen(Number(port), host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
  }

  /** The entry with which the worker registers itself. */
  describe(state = 'ready') {
    const { service, address, zone, slots, born } = this;
    return { service, address, zone, version: 'v1', slots, state, coldLeftMs: 0, seq: 1, born };
  }

  /** Ends as a process that is killed: all channels are reset and nothing listens. */
  crash() {
    this.#server.close();
    this.#channels.forEach(({ socket }) => socket.resetAndDestroy());
  }

  close() {
    this.#server.close();
    this.#channels.forEach(({ socket }) => socket.destroy());
  }

  async answer(request, channel) {
    const { headers, id } = request;
    if (headers['jujubelanding-expect-instance'] !== this.id) {
      channel.writeHead(421, {
        'Jujubelanding-Attempt-Id': id,
        'Jujubelanding-Not-Executed': 1,
        'Content-Length': 0,
      });
      return;
    }
    if (this.running >= this.slots) {
      channel.writeHead(503, {
        'Jujubelanding-Attempt-Id': id,
        'Jujubelanding-Not-Executed': 1,
        'Jujubelanding-Instance-Load': `${this.running},0,${this.slots}`,
        'Content-Length': 0,
      });
      return;
    }
    this.running += 1;
    await this.handler(request, channel, this);
    this.running -= 1;
  }

  /** Headers of an answer of a request that ran. */
  sign(request) {
    return {
      'Jujubelanding-Attempt-Id': request.id,
      'Jujubelanding-Response-Signature': `${this.id}.${request.id}`,
      'Jujubelanding-Instance-Load': `${this.running},0,${this.slots}`,
    };
  }
}
