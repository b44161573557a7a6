/** The platform's metadata store as PROTOCOL.md describes it, in memory, on loopback. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';

/** Time that an answer takes, in milliseconds. */
const ANSWER_MS = 4;

const PAGE_ITEMS = 500;

/** Largest value, as in the settings of the VMs. */
const VALUE_BYTES = 1_048_576;

const toItem = ({ key, value, revision, created, lease }) => ({
  key,
  value: value.toString('base64'),
  revision,
  created,
  lease,
});

const readJson = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
};

/** What becomes of a call; a disruption may choose another fate than `Answer`. */
export const Fate = {
  Answer: 'answer',
  /** The call is executed, and its answer is lost: the connection returns nothing further. */
  LoseAnswer: 'lose-answer',
  /** The call is not executed, and nothing is returned. */
  Silent: 'silent',
};

export class Store {
  items = new Map();

  revision = 1;

  /** All changes, oldest first. */
  history = [];

  leases = new Map();

  /** Decides on the fate of a call by its VM, its step, its body, and its query and connection. */
  decideFate = () => Fate.Answer;

  #nextLease = 1;

  #waiting = new Set();

  #servers = [];

  #mute = new WeakSet();

  #expiry = setInterval(() => this.#expire(), 20);

  /** Opens an address of the store for one VM. */
  async listen(vmName) {
    const server = createServer((request, response) => {
      this.#answer(vmName, request, response).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 60_000;
    this.#servers.push(server);
    await new Promise((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${server.address().port}`;
  }

  /** Makes an open connection silent for good; `decideFate` gets the connections. */
  silence(socket) {
    this.#mute.add(socket);
  }

  close() {
    clearInterval(this.#expiry);
    this.#servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
  }

  /** Writes a value as the operator or a worker does. */
  put(key, value) {
    this.#commit({ writes: [{ key, bytes: Buffer.from(JSON.stringify(value)), lease: 0 }] });
  }

  remove(key) {
    this.#commit({ remove: [key] });
  }

  read(key) {
    const item = this.items.get(key);
    return item === undefined ? undefined : JSON.parse(item.value.toString('utf8'));
  }

  async #answer(vmName, request, response) {
    const url = new URL(request.url, 'http://store');
    const [, step, id = ''] = url.pathname.split('/');
    const body = await readJson(request);
    const { socket } = request;
    if (this.#mute.has(socket)) return;
    const fate = this.decideFate(vmName, step, body, { query: url.searchParams, socket });
    if (fate !== Fate.Answer) this.#mute.add(socket);
    if (fate === Fate.Silent) return;
    await sleep(ANSWER_MS);
    const answer = await this.#handle(step, id, url.searchParams, body, socket);
    if (fate === Fate.LoseAnswer || this.#mute.has(socket)) return;
    response.writeHead(answer.status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(answer.body ?? {}));
  }

  #handle(step, id, query, body, socket) {
    const handlers = {
      'kv-key': () => this.#get(query),
      'kv-range': () => this.#range(query),
      'kv-watch': () => this.#watch(query, socket),
      'kv-txn': () => this.#transact(body),
      'kv-lease': () => this.#grant(body),
      'kv-keep': () => this.#keep(Number(id)),
      'kv-lease-end': () => this.#end(Number(id)),
    };
    return handlers[step]?.() ?? { status: 404 };
  }

  #get(query) {
    const item = this.items.get(query.get('key'));
    if (item === undefined) return { status: 404 };
    return { status: 200, body: { ...toItem(item), at: this.revision } };
  }

  #range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = [...this.items.keys()].filter((key) => key.startsWith(prefix) && key > after);
    const page = keys.toSorted().slice(0, PAGE_ITEMS);
    const items = page.map((key) => toItem(this.items.get(key)));
    return { status: 200, body: { items, hasMore: keys.length > page.length, at: this.revision } };
  }

  async #watch(query, socket) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const waitMs = Number(query.get('watchTimeoutMs'));
    const list = () =>
      this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const endAt = performance.now() + waitMs;
    while (list().length === 0 && performance.now() < endAt && !socket.destroyed) {
      await new Promise((resolve) => {
        const timeout = setTimeout(resolve, endAt - performance.now());
        this.#waiting.add(() => {
          clearTimeout(timeout);
          resolve();
        });
      });
    }
    const events = list().map((event) => (event.deleted ? event : toItem(event)));
    return { status: 200, body: { events, at: this.revision } };
  }

  #transact({ expectedRev = [], writes = [], remove = [] }) {
    if (expectedRev.length + writes.length + remove.length > 32) return { status: 400 };
    const current = (key) => this.items.get(key)?.revision ?? 0;
    if (expectedRev.some(({ key, revision }) => current(key) !== revision)) {
      const found = expectedRev.map(({ key }) => this.items.get(key)).filter(Boolean);
      return { status: 412, body: { items: found.map(toItem) } };
    }
    if (writes.some(({ lease }) => lease !== 0 && !this.leases.has(lease))) return { status: 404 };
    const decoded = writes.map(({ key, value, lease }) => ({
      key,
      bytes: Buffer.from(value, 'base64'),
      lease,
    }));
    if (decoded.some(({ bytes }) => bytes.length > VALUE_BYTES)) return { status: 400 };
    this.#commit({ writes: decoded, remove });
    return { status: 200, body: { revision: this.revision } };
  }

  /** Applies changes at one revision. */
  #commit({ writes = [], remove = [] }) {
    this.revision += 1;
    const { revision } = this;
    writes.forEach(({ key, bytes, lease }) => {
      const created = this.items.get(key)?.created ?? revision;
      const item = { key, value: bytes, revision, created, lease };
      this.items.set(key, item);
      this.history.push(item);
    });
    remove.forEach((key) => {
      if (this.items.delete(key)) this.history.push({ key, revision, deleted: true });
    });
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((wake) => wake());
  }

  #grant({ ttlMs }) {
    const lease = this.#nextLease;
    this.#nextLease += 1;
    this.leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
    return { status: 200, body: { lease, ttlMs } };
  }

  #keep(lease) {
    const found = this.leases.get(lease);
    if (found === undefined) return { status: 404 };
    found.endsAt = performance.now() + found.ttlMs;
    return { status: 200, body: { lease, ttlMs: found.ttlMs } };
  }

  #end(lease) {
    if (!this.leases.delete(lease)) return { status: 404 };
    const keys = [...this.items.values()].filter((item) => item.lease === lease);
    if (keys.length > 0) this.#commit({ remove: keys.map(({ key }) => key) });
    return { status: 200 };
  }

  #expire() {
    const now = performance.now();
    [...this.leases].forEach(([lease, { endsAt }]) => {
      if (endsAt <= now) this.#end(lease);
    });
  }
}
