/** A VM with an older configuration gives up all items of jobs whose route it does not know yet. */
import console from 'node:console';
import path from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createConfiguration, readResults, SERVICE, submit } from '../lib-2/batch.mjs';
import { Deployment, runCase, Verdict } from '../lib-2/deployment.mjs';
import { Fate, Store } from '../lib-2/store.mjs';
import { Worker, writeEvents } from '../lib-2/worker.mjs';

const JOBS = 8;
const ITEMS = 4;
const EVENTS = 40;
const GAP_MS = 100;

const store = new Store();
const deployment = new Deployment(store, path.dirname(fileURLToPath(import.meta.url)));

const answer = ({ id, lastEventId, response, head, worker }) => {
  deployment.record('run-begins', { item: id, lastEventId, worker: worker.id });
  const dataOf = (event) => `${event} of ${id}`;
  writeEvents(response, head, { after: lastEventId ?? 0, count: EVENTS, gapMs: GAP_MS, dataOf });
};

/** The first version has a batch route; the second one adds another. */
const FIRST = createConfiguration(3, { name: 'old-lots', prefix: '/old/' });
const SECOND = createConfiguration(7);
SECOND.routes.push(...FIRST.routes);

/** Connection on which each VM last began to watch the operator's keys. */
const watches = new Map();

/** VMs that watch the jobs in the store itself. */
const roots = new Set();

store.decideFate = (vm, step, _body, { query, socket }) => {
  if (step === 'kv-watch' && query.get('prefix') === 'op/') watches.set(vm, { socket });
  if (step === 'kv-watch' && query.get('prefix') === 'jj/') roots.add(vm);
  return Fate.Answer;
};

/** Makes the connection silent on which a VM has just begun to watch the configuration. */
const silenceWatch = async ({ name }) => {
  const former = watches.get(name);
  await deployment.waitUntil('another watch', 3000, () => watches.get(name) !== former);
  store.silence(watches.get(name).socket);
  deployment.record('connection-silent', { vm: name });
};

const play = async (isTroubled) => {
  for (const index of [1, 2, 3, 4, 5, 6]) {
    await deployment.addWorker(new Worker(`i-${index}`, { service: SERVICE, answer }));
  }
  for (const zone of ['a', 'b', 'c']) await deployment.addVm(`front-${zone}-1`, zone);
  store.put('op/config', FIRST);
  await deployment.start();
  roots.clear();
  await sleep(2000);
  const first = deployment.vms.find(({ name }) => roots.has(name));
  const [second] = deployment.vms.filter((vm) => vm !== first);
  if (isTroubled) await silenceWatch(second);
  store.put('op/config', SECOND);
  deployment.record('configuration', { version: SECOND.version });
  await sleep(100);
  const jobs = Array.from({ length: JOBS }, (_, index) => `job${index}`);
  await Promise.all(jobs.map((job) => submit(deployment, first, ITEMS, job)));
  deployment.record('sigterm', { vm: first.name });
  first.signal('SIGTERM');
  const [reader] = deployment.vms.filter((vm) => vm !== first && vm !== second);
  const results = new Map();
  await deployment.waitUntil('all results', 60_000, async () => {
    await sleep(500);
    for (const job of jobs) results.set(job, await readResults(reader, job));
    return [...results.values()].every(({ length }) => length === ITEMS);
  });
  const all = [...results.values()].flat();
  all.forEach(({ id, state }) => deployment.record('result', { id, state }));
  const dead = all.filter(({ state }) => state === 'dead_lettered').length;
  console.log(`${dead} of ${all.length} items are given up though no worker has failed`);
  return dead > 0 ? Verdict.Broken : Verdict.Held;
};

/** TROUBLE=0 leaves the disruption out. */
const hasTrouble = process.env.TROUBLE !== '0';

await runCase(deployment, () => play(hasTrouble));
