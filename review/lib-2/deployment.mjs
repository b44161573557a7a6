/** A small deployment: entry VMs as processes, and stand-ins of the store and the workers. */
import { fork } from 'node:child_process';
import console from 'node:console';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSettings } from './settings.mjs';
import { ROOT, Vm } from './vm.mjs';

/** Exit codes of a case. */
export const Verdict = { Held: 0, Broken: 1, NotRun: 2 };

export class Deployment {
  vms = [];

  workers = [];

  /** Workers that are processes of their own. */
  processes = [];

  lines = [];

  startedAt = performance.now();

  constructor(store, caseFolder) {
    this.store = store;
    this.caseFolder = caseFolder;
    this.folder = mkdtempSync(path.join(tmpdir(), 'jujubelanding-review-'));
  }

  /** Adds a line to the record of the case. */
  record(event, fields = {}) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    const text = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    this.lines.push([at, event, ...text].join(' '));
  }

  async addWorker(worker) {
    await worker.listen();
    this.workers.push(worker);
    this.store.put(`servers/${worker.id}`, worker.describe());
  }

  /** Starts a worker as a process and registers it; `onMessage` gets what it reports. */
  async addWorkerProcess(options, onMessage) {
    const file = path.join(ROOT, 'review/lib-2/worker-process.mjs');
    const child = fork(file, [], { stdio: 'ignore', execArgv: [] });
    this.processes.push(child);
    child.on('message', onMessage);
    const listening = new Promise((resolve) => {
      child.on('message', (message) => {
        if (message.kind === 'listening') resolve(message.entry);
      });
    });
    child.send(options);
    this.store.put(`servers/${options.id}`, await listening);
    return child;
  }

  async addVm(name, zone) {
    const settings = await createSettings(name, zone, await this.store.listen(name));
    const vm = new Vm(name, settings, this.folder);
    this.vms.push(vm);
    return vm;
  }

  /** Starts all VMs and waits until they are ready and know each other. */
  async start() {
    this.vms.forEach((vm) => vm.start());
    await this.waitUntil('all VMs ready', 15_000, async () => {
      const ready = await Promise.all(this.vms.map((vm) => vm.isReady()));
      return ready.every(Boolean);
    });
    await sleep(2000);
  }

  async waitUntil(what, timeoutMs, check) {
    const endAt = performance.now() + timeoutMs;
    while (!(await check())) {
      if (performance.now() > endAt) throw new Error(`not reached in ${timeoutMs} ms: ${what}`);
      await sleep(20);
    }
  }

  /** Ends all processes and writes the record. */
  async close() {
    this.vms.forEach((vm) => vm.signal('SIGKILL'));
    await Promise.all(this.vms.map((vm) => vm.exited));
    this.workers.forEach((worker) => worker.close());
    this.processes.forEach((child) => child.kill('SIGKILL'));
    this.store.close();
    writeFileSync(path.join(this.caseFolder, 'record.txt'), `${this.lines.join('\n')}\n`);
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true });
    else console.log(this.folder);
  }
}

/** Runs a case and ends this process with its verdict. */
export const runCase = async (deployment, play) => {
  let verdict = Verdict.NotRun;
  try {
    verdict = await play();
  } catch (error) {
    deployment.record('not-run', { message: error.message });
  }
  deployment.record('verdict', { code: verdict });
  await deployment.close();
  process.exit(verdict);
};
