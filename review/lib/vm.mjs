/** Starts the entry-vm program of the deploy file as processes of their own. */
import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

const READY_MS = 15_000;
const PORTS = 16;

/** Words of the `run` line of a role in the deploy file. */
const readCommand = (role) => {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
};

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = createServer()
      .once('error', () => resolve(false))
      .listen(port, host, () => server.close(() => resolve(true)));
  });

/** Finds consecutive free ports of a host. */
const findPorts = async (host) => {
  for (;;) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const free = await Promise.all(
      Array.from({ length: PORTS }, (_, index) => isFree(host, first + index)),
    );
    if (free.every((isPortFree) => isPortFree)) return first;
  }
};

const isReady = (address) =>
  new Promise((resolve) => {
    const request = get(`http://${address}/readyz`, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.once('error', () => resolve(false));
  });

export class EntryVm {
  /** How the process ended; undefined while it runs. */
  exit;

  #child;

  constructor(name, folder, storeAddress) {
    this.name = name;
    this.folder = folder;
    this.storeAddress = storeAddress;
  }

  async prepare(index) {
    const ip = `127.0.${Math.floor(process.pid / 250) % 250}.${1 + (process.pid % 200) + index}`;
    const first = await findPorts(ip);
    this.front = `${ip}:${first + 8}`;
    this.readiness = `${ip}:${first + 9}`;
    this.directory = `${ip}:${first + 10}`;
    this.settings = {
      nodeName: this.name,
      role: 'entry-vm',
      machineClass: 'front',
      serves: ['front', 'directory'],
      ip,
      zone: `zone-${index + 1}`,
      region: 'region',
      portRange: [first, first + 7],
      seeds: [],
      bootstrap: true,
      inTolerance: false,
      listen: { front: this.front, readiness: this.readiness, directory: this.directory },
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000 },
      bounds: {
        drainMs: 2000,
        graceS: 8,
        ackMs: 4000,
        configApplyMs: 2000,
        resultTtlS: 120,
        ttl_max_s: 5,
      },
      provider: { address: this.storeAddress, form: 'kv', valueBytes: 1_048_576, ttlMinMs: 1000 },
    };
    this.settingsFile = join(this.folder, `${this.name}.json`);
    this.logFile = join(this.folder, `${this.name}.log`);
    writeFileSync(this.settingsFile, JSON.stringify(this.settings));
  }

  start() {
    const [, ...words] = readCommand('entry-vm');
    const output = openSync(this.logFile, 'a');
    const { PATH, HOME } = process.env;
    this.exit = undefined;
    const child = spawn(process.execPath, words, {
      env: { PATH, HOME, JUJUBELANDING_SETTINGS: this.settingsFile },
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    this.#child = child;
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        if (this.#child === child) this.exit = { code, signal };
        resolve();
      });
    });
  }

  async waitUntilReady() {
    const until = Date.now() + READY_MS;
    while (Date.now() < until) {
      if (await isReady(this.readiness)) return;
      await sleep(50);
    }
    throw new Error(`${this.name} is not ready after ${READY_MS} ms`);
  }

  signal(name) {
    if (this.exit === undefined) this.#child?.kill(name);
  }

  readLog() {
    return readFileSync(this.logFile, 'utf8');
  }
}
