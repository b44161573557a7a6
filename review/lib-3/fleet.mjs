/** Starts entry VMs with the command of the deploy file, and stand-ins of the platform, on loopback. */
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { fork, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as send } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { CALLER_HOST, createSettings, HEARTBEAT_MS, ZONES } from './settings.mjs';
import { Store } from './store.mjs';

export { BOUNDS, CALLER_HOST, LIMITS } from './settings.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const WORKER_PROGRAM = fileURLToPath(new URL('worker.mjs', import.meta.url));

const BYTE = 256;
const READY_TIMEOUT_MS = 15_000;

const hostOf = (index) =>
  `127.${1 + (Math.floor(process.pid / BYTE) % (BYTE - 2))}.${process.pid % BYTE}.${index + 1}`;

const findFreePort = (host) =>
  new Promise((resolve) => {
    const server = createServer().listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** Returns the words of the command of a role. */
const readCommand = (role) => {
  const manifest = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = manifest.slice(manifest.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1].split(' ');
};

/** Sends a request on a new connection; resolves when the answer has ended, in whichever way. */
export const call = (address, { method = 'POST', target, headers = {}, body = '', onEvent }) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const sentAt = performance.now();
    const answer = { sentAt, status: undefined, isWhole: false, text: '', headers: {} };
    const finish = () => resolve({ ...answer, endedAt: performance.now() });
    const outgoing = send(
      {
        host,
        port,
        method,
        path: target,
        agent: false,
        headers: { host: CALLER_HOST, ...headers },
      },
      (incoming) => {
        answer.status = incoming.statusCode;
        answer.headers = incoming.headers;
        incoming.setEncoding('utf8');
        incoming.on('data', (chunk) => {
          answer.text += chunk;
          onEvent?.(chunk);
        });
        incoming.on('error', () => {});
        incoming.on('close', () => {
          answer.isWhole = incoming.complete;
          finish();
        });
      },
    );
    outgoing.on('error', finish);
    outgoing.end(body);
  });

export class Fleet {
  store = new Store();

  /** Entry VMs by name. */
  vms = new Map();

  workers = new Map();

  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));

  #processes = new Set();

  #beats = new Map();

  #onWorker;

  #nextWorker = 1;

  /** `onWorker` is called with what the workers report. */
  constructor(onWorker) {
    this.#onWorker = onWorker;
  }

  async startStore() {
    const host = hostOf(BYTE - 10);
    this.storeAddress = `${host}:${await this.store.listen(host)}`;
  }

  /** Starts an entry VM; `onLine` is called with each line of its log. */
  async startVm(index, { onLine } = {}) {
    const name = `front-${index + 1}`;
    const ip = hostOf(index);
    const ports = [];
    while (ports.length < 5) {
      const port = await findFreePort(ip);
      if (!ports.includes(port) && !ports.includes(port - 1)) ports.push(port);
    }
    const settings = createSettings(
      name,
      ip,
      ZONES[index % ZONES.length],
      ports,
      this.storeAddress,
    );
    const file = path.join(this.#folder, `${name}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const vm = { name, file, onLine, child: undefined, ...settings.listen };
    this.#spawn(vm);
    this.vms.set(name, vm);
    return vm;
  }

  #spawn(vm) {
    const { file, onLine } = vm;
    const [program, ...words] = readCommand('entry-vm');
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, JUJUBELANDING_SETTINGS: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#track(child);
    vm.child = child;
    let rest = '';
    child.stdout.setEncoding('utf8').on('data', (text) => {
      const lines = (rest + text).split('\n');
      rest = lines.pop();
      if (onLine) lines.forEach((line) => onLine(line));
    });
  }

  async awaitReady() {
    const startedAt = performance.now();
    for (const { readiness } of this.vms.values()) {
      for (;;) {
        const { status } = await call(readiness, { method: 'GET', target: '/readyz' });
        if (status === 200) break;
        if (performance.now() - startedAt > READY_TIMEOUT_MS) throw new Error('a VM is not ready');
        await sleep(50);
      }
    }
  }

  /** Starts the program of a worker and registers it. */
  async startWorker(service, settings, program = WORKER_PROGRAM) {
    const id = `w-${this.#nextWorker}`;
    const zone = ZONES[this.#nextWorker % ZONES.length];
    this.#nextWorker += 1;
    const host = hostOf(BYTE - 20);
    const child = fork(program, [JSON.stringify({ id, host, queue: 24, ...settings })], {
      cwd: this.#folder,
    });
    this.#track(child);
    const worker = { id, child, service, zone, slots: settings.slots, born: Date.now(), seq: 0 };
    await new Promise((resolve) => {
      child.on('message', (message) => {
        if (message.type === 'ready') {
          worker.address = message.address;
          resolve();
        } else this.#onWorker({ ...message, worker: id, at: performance.now() });
      });
    });
    this.workers.set(id, worker);
    this.#register(worker);
    child.on('exit', () => this.#expire(worker));
    return worker;
  }

  #register(worker) {
    const write = () => {
      worker.seq += 1;
      const { service, address, zone, slots, born, seq } = worker;
      const entry = { service, address, zone, version: 1, slots, state: 'ready', coldLeftMs: 0 };
      this.store.put(`servers/${worker.id}`, { ...entry, seq, born });
    };
    write();
    this.#beats.set(worker.id, setInterval(write, HEARTBEAT_MS));
  }

  /** The entry of a worker that has crashed is removed after three intervals of silence. */
  #expire(worker) {
    this.workers.delete(worker.id);
    const beat = this.#beats.get(worker.id);
    if (beat === undefined) return;
    clearInterval(beat);
    this.#beats.delete(worker.id);
    setTimeout(() => this.store.remove(`servers/${worker.id}`), 3 * HEARTBEAT_MS).unref();
  }

  #track(child) {
    this.#processes.add(child);
    child.on('exit', () => this.#processes.delete(child));
    child.on('error', () => {});
  }

  /** Ends all processes. */
  async close() {
    this.#beats.forEach((beat) => clearInterval(beat));
    const ended = [...this.#processes].map((child) => {
      const exit = once(child, 'exit');
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      return exit;
    });
    await Promise.all(ended);
    this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
