/** Starts stand-ins and entry VMs, runs a case, and ends all that was started. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { Record } from './record.mjs';
import { Store } from './store.mjs';
import { EntryVm } from './vm.mjs';

/** Exit codes of a script. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Time in which a whole case must end. */
const LIMIT_MS = 115_000;

const REQUEST_LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

export class Scenario {
  store = new Store();

  record = new Record();

  workers = [];

  vms = [];

  hasTrouble = process.env.TROUBLE !== '0';

  #folder = mkdtempSync(join(tmpdir(), 'review-'));

  configure(routes, services) {
    this.store.put('op/config', { version: 1, routes, services, limits: REQUEST_LIMITS });
  }

  async addWorker(worker) {
    await worker.listen();
    this.workers.push(worker);
    this.store.put(`servers/${worker.id}`, worker.describe());
  }

  async startVms(count) {
    for (let index = 0; index < count; index += 1) {
      const vm = new EntryVm(`front-${index + 1}`, this.#folder, this.store.address);
      await vm.prepare(index);
      vm.start();
      this.vms.push(vm);
    }
    await Promise.all(this.vms.map((vm) => vm.waitUntilReady()));
    // The VMs hear of each other.
    await sleep(1500);
  }

  async close() {
    this.vms.forEach((vm) => vm.signal('SIGKILL'));
    await Promise.all(this.vms.map((vm) => vm.ended));
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#folder, { recursive: true });
    else process.stdout.write(`logs: ${this.#folder}\n`);
  }
}

/**
 * Runs a case: `run(scenario)` resolves with the breaks of the rule that it saw, as lines of text. Writes
 * the record beside the case and ends the process with 0, 1 or 2.
 */
export const runScenario = async (caseUrl, run) => {
  const scenario = new Scenario();
  const { record } = scenario;
  let code = NOT_RUN;
  const limit = setTimeout(() => process.exit(NOT_RUN), LIMIT_MS);
  // The entry VMs end with this process, however it ends.
  process.once('exit', () => scenario.vms.forEach((vm) => vm.signal('SIGKILL')));
  ['SIGINT', 'SIGTERM'].forEach((name) => process.once(name, () => process.exit(NOT_RUN)));
  try {
    await scenario.store.listen();
    const breaks = await run(scenario);
    breaks.forEach((line) => record.write('BROKEN', line));
    code = breaks.length > 0 ? BROKEN : HELD;
    record.write(code === HELD ? 'the rule held' : `the rule was broken ${breaks.length} times`);
  } catch (thrown) {
    record.write('the case could not run:', thrown.stack);
    process.stderr.write(`${thrown.stack}\n`);
  }
  clearTimeout(limit);
  record.close();
  await scenario.close();
  record.save(fileURLToPath(new URL('record.txt', caseUrl)));
  process.exit(code);
};
