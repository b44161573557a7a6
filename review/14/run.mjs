/**
 * Batch jobs run on workers whose streams have no length and end with their connection. Two workers crash,
 * one 200 ms after the other. The second one is the worker that continues most items of the first; it has
 * sent the heads of its answers, and reads the prompts. Compares each completed result with the whole output.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS, call, CALLER_HOST, Fleet, LIMITS } from '../lib-3/fleet.mjs';
import { hasTrouble, openRecord, runCase } from '../lib-3/run-case.mjs';

const VMS = 3;
const WORKERS = 6;
const SLOTS = 8;
const EVENTS = 100;
const ITEMS = 10;
const JOBS = 3;
const JOB_LIMIT_MS = 18_000;
const FIRST_CRASH_MS = 800;
const BETWEEN_CRASHES_MS = 200;

const ENGINE = { slots: SLOTS, prefillMs: 300, stepMs: 22, events: EVENTS, isFramed: false };

const CONFIGURATION = {
  version: 4,
  routes: [
    {
      name: 'match-sheet-lot',
      host: CALLER_HOST,
      prefix: '/sheets/',
      kind: 'batch',
      timeoutMs: 15_000,
      sloMs: 500,
      priority: 2,
      service: 'glass-advisor',
      maxAttempts: 3,
      sticky: true,
      resumable: true,
      dueMs: 18_000,
      itemTtlS: 60,
    },
  ],
  services: [
    { name: 'glass-advisor', healthPath: '/healthz', maxConns: 300, runtime: { slots: SLOTS } },
  ],
  limits: LIMITS,
};

const record = openRecord(import.meta.url);
const begun = new Set();

/** Numbers of items that were continued, by worker. */
const continued = new Map();

const fleet = new Fleet(({ type, request, worker, after, at, isWhole }) => {
  if (type === 'event') begun.add(worker);
  if (type === 'begin' && after > 0) continued.set(worker, (continued.get(worker) ?? 0) + 1);
  if (type === 'begin') record.write(`worker ${worker} runs ${request} after event ${after}`, at);
  if (type === 'end') record.write(`worker ${worker} ends ${request}, whole: ${isWhole}`, at);
});

/** Streams that have sent events end inside an event, so that each of them is broken off visibly. */
const crash = (worker) => {
  record.write(`worker ${worker.id} crashes`);
  worker.child.send({ type: 'crash' });
};

const textOf = (item) =>
  Array.from({ length: EVENTS }, (_, index) => `${item}-${index + 1}`).join('\n');

const submit = async (vm, job) => {
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: `${job}${index.toString(16).padStart(4, '0')}`,
    path: `/sheets/3/${index}`,
    headers: {
      'Jujubelanding-Model': 'm',
      'Jujubelanding-Token-Usage': '350,800',
      'Jujubelanding-Prompt-Prefix': `aa01:100,${job}${index}:250`,
    },
    body: 'c2hlZXQ=',
    tokenCount: 1150,
  }));
  const { status } = await call(vm.front, {
    target: `/sheets/${job}`,
    headers: { 'jujubelanding-attempt-id': job, 'content-type': 'application/json' },
    body: JSON.stringify({ items }),
  });
  record.write(`job ${job} sent to ${vm.name}: ${status}`);
  if (status !== 202) throw new Error('a job was not accepted');
  return items.map(({ id }) => id);
};

const readResults = async (vm, job, total) => {
  const results = [];
  const startedAt = performance.now();
  while (results.length < total && performance.now() - startedAt < JOB_LIMIT_MS) {
    const { status, text } = await call(vm.front, {
      method: 'GET',
      target: `/lots/${job}?after=${results.length}`,
      headers: { 'jujubelanding-wait-ms': '1000' },
    });
    if (status === 200) results.push(...JSON.parse(text).results);
    await sleep(300);
  }
  return results;
};

const check = ({ id, state, output }) => {
  record.write(`result ${id}: ${state}, ${output === '' ? 0 : output.split('\n').length} events`);
  if (state !== 'completed' || output === textOf(id)) return [];
  const events = output.split('\n').length;
  return [`MIXED: ${id} is completed with ${events} of ${EVENTS} events`];
};

/** Two workers crash one after the other, as when the machines of one rack lose power. */
const crashTwo = async () => {
  await sleep(FIRST_CRASH_MS);
  const first = fleet.workers.get([...begun][0]);
  if (first === undefined) throw new Error('no worker runs an item');
  crash(first);
  await sleep(BETWEEN_CRASHES_MS);
  const [second] = [...continued].sort(([, a], [, b]) => b - a)[0] ?? [];
  if (second === undefined) throw new Error('no item was continued');
  crash(fleet.workers.get(second));
};

const play = async () => {
  await fleet.startStore();
  fleet.store.put('op/config', CONFIGURATION);
  for (let index = 0; index < WORKERS; index += 1) await fleet.startWorker('glass-advisor', ENGINE);
  for (let index = 0; index < VMS; index += 1) await fleet.startVm(index);
  await fleet.awaitReady();
  await sleep(BOUNDS.contactMs);
  const vms = [...fleet.vms.values()];
  const jobs = Array.from({ length: JOBS }, (_, index) => `7c41e09b52d6a3f${index}`);
  const totals = await Promise.all(jobs.map((job, index) => submit(vms[index % VMS], job)));
  if (hasTrouble) await crashTwo();
  const pages = await Promise.all(
    jobs.map((job, index) => readResults(vms[(index + 1) % VMS], job, totals[index].length)),
  );
  const results = pages.flat();
  record.write(`results: ${results.length} of ${JOBS * ITEMS}`);
  if (!hasTrouble && results.length < JOBS * ITEMS) throw new Error('a result is missing');
  return results.flatMap(check);
};

await runCase(record, play, () => fleet.close());
