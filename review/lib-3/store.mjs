/** Stand-in of the platform's metadata store: keys, revisions, watches, transactions and leases. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PAGE_ITEMS = 500;
const MAX_ENTRIES = 32;
const MIN_TTL_MS = 1000;
const FORBIDDEN = /^(?:op|servers)\//;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

const encode = (value) => Buffer.from(JSON.stringify(value), 'utf8').toString('base64');

export class Store {
  #revision = 1;

  #items = new Map();

  #history = [];

  #waiting = new Set();

  #leases = new Map();

  #nextLease = 1;

  #server = createServer((request, response) => {
    void this.#answer(request, response);
  });

  /** Resolves with the port. */
  listen(host) {
    return new Promise((resolve) => {
      this.#server.listen(0, host, () => resolve(this.#server.address().port));
    });
  }

  close() {
    this.#leases.forEach(({ timer }) => clearTimeout(timer));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a key of the operator or of a worker; the time of the return is its acknowledgement. */
  put(key, value) {
    this.#revision += 1;
    this.#write({ key, value: encode(value), lease: 0 });
    this.#wake();
  }

  remove(key) {
    this.#revision += 1;
    this.#delete(key);
    this.#wake();
  }

  /** Returns the keys with a prefix. */
  keys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  #write({ key, value, lease }) {
    const former = this.#items.get(key);
    this.#leases.get(former?.lease)?.keys.delete(key);
    const created = former?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#leases.get(lease)?.keys.add(key);
    this.#history.push(item);
  }

  #delete(key) {
    const former = this.#items.get(key);
    if (former === undefined) return;
    this.#leases.get(former.lease)?.keys.delete(key);
    this.#items.delete(key);
    this.#history.push({ key, revision: this.#revision, deleted: true });
  }

  #wake() {
    [...this.#waiting].forEach((wake) => wake());
  }

  async #answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    const [, name, id] = url.pathname.split('/');
    const query = url.searchParams;
    const handlers = {
      'kv-key': () => this.#get(query.get('key')),
      'kv-range': () => this.#range(query.get('prefix'), query.get('after') ?? ''),
      'kv-watch': () => this.#watch(query),
      'kv-txn': () => this.#commit(body),
      'kv-lease': () => this.#grant(body.ttlMs),
      'kv-keep': () => this.#keep(Number(id)),
      'kv-lease-end': () => this.#endLease(Number(id)),
    };
    const [status, json] = (await handlers[name]?.()) ?? [404, {}];
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(json));
  }

  #get(key) {
    const item = this.#items.get(key);
    return item === undefined ? [404, {}] : [200, { ...item, at: this.#revision }];
  }

  #range(prefix, after) {
    const keys = this.keys(prefix)
      .filter((key) => key > after)
      .toSorted();
    const items = keys.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key));
    return [200, { items, hasMore: keys.length > PAGE_ITEMS, at: this.#revision }];
  }

  async #watch(query) {
    const prefix = query.get('prefix');
    const after = Number(query.get('after'));
    const list = () =>
      this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    if (list().length === 0) {
      await new Promise((resolve) => {
        const wait = { timer: undefined };
        const wake = () => {
          if (list().length > 0) wait.end();
        };
        wait.end = () => {
          clearTimeout(wait.timer);
          this.#waiting.delete(wake);
          resolve();
        };
        wait.timer = setTimeout(wait.end, Number(query.get('watchTimeoutMs')));
        this.#waiting.add(wake);
      });
    }
    return [200, { events: list(), at: this.#revision }];
  }

  #commit({ expectedRev = [], writes = [], remove = [] }) {
    if (expectedRev.length + writes.length + remove.length > MAX_ENTRIES) return [400, {}];
    if ([...writes.map(({ key }) => key), ...remove].some((key) => FORBIDDEN.test(key))) {
      return [403, {}];
    }
    if (writes.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) return [404, {}];
    const revisionOf = (key) => this.#items.get(key)?.revision ?? 0;
    if (expectedRev.some(({ key, revision }) => revisionOf(key) !== revision)) {
      const items = expectedRev.map(
        ({ key }) => this.#items.get(key) ?? { key, revision: 0, value: '' },
      );
      return [412, { items }];
    }
    this.#revision += 1;
    writes.forEach((write) => this.#write(write));
    remove.forEach((key) => this.#delete(key));
    this.#wake();
    return [200, { revision: this.#revision }];
  }

  #grant(ttlMs) {
    const lease = this.#nextLease;
    this.#nextLease += 1;
    const granted = { ttlMs: Math.max(MIN_TTL_MS, ttlMs), keys: new Set(), timer: undefined };
    this.#leases.set(lease, granted);
    this.#keep(lease);
    return [200, { lease, ttlMs: granted.ttlMs }];
  }

  #keep(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) return [404, {}];
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.#endLease(id), lease.ttlMs);
    return [200, { ttlMs: lease.ttlMs }];
  }

  #endLease(id) {
    const lease = this.#leases.get(id);
    if (lease === undefined) return [404, {}];
    clearTimeout(lease.timer);
    this.#revision += 1;
    [...lease.keys].forEach((key) => this.#delete(key));
    this.#leases.delete(id);
    this.#wake();
    return [200, {}];
  }
}
