/** Stand-in of the platform's metadata store, over HTTP on a loopback address. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const VALUE_BYTES = 1_048_576;

/** Time that the store takes for a call. */
const ANSWER_MS = 4;

const toItem = ({ key, value, revision, created, lease }) => ({
  key,
  value,
  revision,
  created,
  lease,
});

export class Store {
  #items = new Map();

  #history = [];

  #revision = 1;

  #leases = new Map();

  #nextLease = 1;

  #waiting = new Set();

  #server = createServer((request, response) => {
    void this.#answer(request, response);
  });

  async listen() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  /** Writes a value as the operator or a worker. */
  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.#apply([{ key, value: Buffer.from(text).toString('base64'), lease: 0 }], []);
  }

  remove(key) {
    this.#apply([], [key]);
  }

  /** Returns the decoded values under a prefix, by key. */
  read(prefix) {
    const found = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix));
    return new Map(found.map(({ key, value }) => [key, Buffer.from(value, 'base64').toString()]));
  }

  #apply(writes, removals) {
    this.#revision += 1;
    const revision = this.#revision;
    for (const { key, value, lease } of writes) {
      const created = this.#items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this.#items.set(key, item);
      this.#history.push(toItem(item));
    }
    for (const key of removals) {
      if (this.#items.delete(key)) this.#history.push({ key, revision, deleted: true });
    }
    [...this.#waiting].forEach((wake) => wake());
    return revision;
  }

  async #answer(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const text = Buffer.concat(chunks).toString();
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const [, name, id] = pathname.split('/');
    const { status, body = {} } = await this.#handle(name, {
      query: searchParams,
      body: text === '' ? {} : JSON.parse(text),
      id: Number(id),
    });
    await new Promise((resolve) => {
      setTimeout(resolve, ANSWER_MS);
    });
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  #handle(name, call) {
    const handlers = {
      'kv-key': ({ query }) => this.#get(query.get('key')),
      'kv-range': ({ query }) => this.#range(query.get('prefix'), query.get('after') ?? ''),
      'kv-watch': ({ query }) =>
        this.#watch(
          query.get('prefix'),
          Number(query.get('after')),
          Number(query.get('watchTimeoutMs')),
        ),
      'kv-txn': ({ body }) => this.#commit(body),
      'kv-lease': ({ body }) => this.#grant(body.ttlMs),
      'kv-keep': ({ id }) => this.#keep(id),
      'kv-lease-end': ({ id }) => this.#end(id),
    };
    return handlers[name]?.(call) ?? { status: 404 };
  }

  #get(key) {
    const item = this.#items.get(key);
    if (item === undefined) return { status: 404 };
    return { status: 200, body: { ...toItem(item), at: this.#revision } };
  }

  #range(prefix, after) {
    const all = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .toSorted((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const item of all) {
      bytes += item.value.length;
      if (items.length >= PAGE_ITEMS || (bytes > PAGE_BYTES && items.length > 0)) break;
      items.push(toItem(item));
    }
    const hasMore = items.length < all.length;
    return { status: 200, body: { items, hasMore, at: this.#revision } };
  }

  async #watch(prefix, after, waitMs) {
    const find = () =>
      this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const until = Date.now() + waitMs;
    while (find().length === 0 && Date.now() < until) {
      await new Promise((resolve) => {
        const waiter = { timer: undefined, wake: undefined };
        waiter.wake = () => {
          this.#waiting.delete(waiter.wake);
          clearTimeout(waiter.timer);
          resolve();
        };
        waiter.timer = setTimeout(waiter.wake, until - Date.now());
        this.#waiting.add(waiter.wake);
      });
    }
    return { status: 200, body: { events: find(), at: this.#revision } };
  }

  #commit({ expectedRev = [], writes = [], remove = [] }) {
    const isMet = ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision;
    if (!expectedRev.every(isMet)) {
      const items = expectedRev
        .map(({ key }) => this.#items.get(key))
        .filter((item) => item !== undefined)
        .map(toItem);
      return { status: 412, body: { items } };
    }
    if (writes.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) return { status: 404 };
    const isTooLong = ({ value }) => Buffer.byteLength(value, 'base64') > VALUE_BYTES;
    if (writes.some(isTooLong)) return { status: 413 };
    return { status: 200, body: { revision: this.#apply(writes, remove) } };
  }

  #grant(ttlMs) {
    const lease = this.#nextLease;
    this.#nextLease += 1;
    this.#leases.set(lease, { ttlMs, timer: this.#startLease(lease, ttlMs) });
    return { status: 200, body: { lease, ttlMs } };
  }

  #startLease(lease, ttlMs) {
    return setTimeout(() => this.#end(lease), ttlMs);
  }

  #keep(lease) {
    const held = this.#leases.get(lease);
    if (held === undefined) return { status: 404 };
    clearTimeout(held.timer);
    held.timer = this.#startLease(lease, held.ttlMs);
    return { status: 200, body: { ttlMs: held.ttlMs } };
  }

  #end(lease) {
    const held = this.#leases.get(lease);
    if (held === undefined) return { status: 200 };
    clearTimeout(held.timer);
    this.#leases.delete(lease);
    const keys = [...this.#items.values()]
      .filter((item) => item.lease === lease)
      .map(({ key }) => key);
    if (keys.length > 0) this.#apply([], keys);
    return { status: 200 };
  }
}
