/** A lost answer of the store at a takeover joins the events of two runs in the text of an item. */
import console from 'node:console';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import {
  createConfiguration,
  findOwner,
  JOB,
  readResults,
  SERVICE,
  submit,
} from '../lib-2/batch.mjs';
import { Deployment, runCase, Verdict } from '../lib-2/deployment.mjs';
import { Fate, Store } from '../lib-2/store.mjs';
import { Worker, writeEvents } from '../lib-2/worker.mjs';

const ITEMS = 10;
const EVENTS = 40;

/** Within the pause of 400 ms that the sheet allows between events. */
const GAP_MS = 350;

const store = new Store();
const deployment = new Deployment(store, path.dirname(fileURLToPath(import.meta.url)));

/** All runs at workers, in order: item, and the last event that the sender had. */
const runs = [];

const answer = ({ id, lastEventId, response, head, worker }) => {
  const run = runs.length;
  runs.push({ id, lastEventId });
  deployment.record('run-begins', { run, item: id, lastEventId, worker: worker.id });
  response.once('close', () => deployment.record('run-ends', { run }));
  writeEvents(response, head, {
    after: lastEventId ?? 0,
    count: EVENTS,
    gapMs: GAP_MS,
    dataOf: (event) => `${event} run ${run}`,
  });
};

/** Returns what is wrong with the text of a completed item, by the rule ORDER of batch jobs. */
const findFault = ({ id, output }) => {
  const events = output.split('\n').map((line) => line.split(' run ').map(Number));
  if (events.length !== EVENTS) return `${events.length} events`;
  for (const [index, [event, run]] of events.entries()) {
    if (event !== index + 1) return `event ${event} stands in place ${index + 1}`;
    if (runs[run].id !== id) return `event ${event} is of another item`;
    const former = events[index - 1]?.[1];
    const asked = runs[run].lastEventId ?? 0;
    if (former !== run && asked !== index) {
      return `run ${run}, asked with Last-Event-Id ${asked}, goes on after event ${index} of run ${former}`;
    }
  }
  return undefined;
};

/** Loses the answer to the first transaction by which a VM takes the job; it is executed. */
const loseTakeover = () => {
  let hasLost = process.env.LOSE === '0';
  store.decideFate = (vm, step, body) => {
    const keys = step === 'kv-txn' ? body.writes.map(({ key }) => key) : [];
    if (hasLost || String(keys) !== `jj/owner/${JOB}`) return Fate.Answer;
    hasLost = true;
    deployment.record('answer-lost', { vm, writes: keys });
    return Fate.LoseAnswer;
  };
};

/** Stops a VM and starts it again, as the platform does. */
const restart = (vm) => {
  deployment.record('sigterm', { vm: vm.name });
  vm.signal('SIGTERM');
  void vm.exited.then(() => {
    deployment.record('exited', { vm: vm.name });
    vm.start();
  });
};

const restartOwners = async (first) => {
  await sleep(3400);
  loseTakeover();
  restart(first);
  await deployment.waitUntil('another owner', 8000, () => {
    const owner = findOwner(deployment);
    return owner !== undefined && owner !== first;
  });
  const second = findOwner(deployment);
  deployment.record('owner', { vm: second.name });
  await sleep(3000);
  restart(second);
};

const play = async (isTroubled) => {
  for (const index of [1, 2, 3]) {
    await deployment.addWorker(new Worker(`i-${index}`, { service: SERVICE, answer }));
  }
  for (const zone of ['a', 'b', 'c']) await deployment.addVm(`front-${zone}-1`, zone);
  store.put('op/config', createConfiguration());
  await deployment.start();
  const [first, , reader] = deployment.vms;
  await submit(deployment, first, ITEMS);
  if (isTroubled) await restartOwners(first);
  let results = [];
  await deployment.waitUntil('all results', 60_000, async () => {
    await sleep(500);
    results = await readResults(reader);
    return results.length === ITEMS;
  });
  results.forEach((result) => deployment.record('result', result));
  const faults = results
    .filter(({ state }) => state === 'completed')
    .map((result) => ({ id: result.id, fault: findFault(result) }))
    .filter(({ fault }) => fault !== undefined);
  faults.forEach((fault) => deployment.record('ORDER', fault));
  console.log(`${faults.length} of ${results.length} items have a text of joined runs`);
  return faults.length > 0 ? Verdict.Broken : Verdict.Held;
};

/** TROUBLE=0 leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(deployment, () => play(hasTrouble));
