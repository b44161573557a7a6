/**
 * Batch jobs of one item each run at a service with two workers. One of the workers answers one run in 40
 * with status 500; the items would succeed in their second run, and their route allows two attempts. The
 * worker sends each such answer a second time, late, in front of the answer to the next request on its
 * connection. Looks for items that are given up after one failed run.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { BOUNDS, call, CALLER_HOST, Fleet, LIMITS } from '../lib-3/fleet.mjs';
import { hasTrouble, openRecord, runCase } from '../lib-3/run-case.mjs';

const VMS = 3;
const SLOTS = 8;
const JOBS = 220;
const JOB_INTERVAL_MS = 200;

/** Fewer than 0.03 of the answers of a faulty worker are sent twice. */
const FAIL_EVERY = 40;

const MAX_ATTEMPTS = 2;
const RESULT_LIMIT_MS = 20_000;

const WORKER = { slots: SLOTS, events: 8, stepMs: 20 };

/** One worker of two is faulty. */
const FAULTY_WORKER = { ...WORKER, failEvery: FAIL_EVERY, copies: hasTrouble };

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
      maxAttempts: MAX_ATTEMPTS,
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

/** Numbers of runs that workers have answered with 500, by item. */
const failures = new Map();

/** Numbers of answers by worker. */
const answers = new Map();

let copies = 0;

const HANDLERS = {
  begin: ({ request, worker, after, at }) => {
    answers.set(worker, (answers.get(worker) ?? 0) + 1);
    record.write(`worker ${worker} runs ${request} after event ${after}`, at);
  },
  failure: ({ request, worker, at }) => {
    failures.set(request, (failures.get(request) ?? 0) + 1);
    record.write(`worker ${worker} answers ${request} with 500`, at);
  },
  copy: ({ request, of, worker, at }) => {
    copies += 1;
    record.write(`worker ${worker} sends the answer to ${of} again, before that to ${request}`, at);
  },
  end: ({ request, worker, isWhole, at }) =>
    record.write(`worker ${worker} ends ${request}, whole: ${isWhole}`, at),
};

const fleet = new Fleet((message) => HANDLERS[message.type](message));

const submit = async (vm, index) => {
  const job = `7c41e09b52d6${index.toString(16).padStart(4, '0')}`;
  const item = {
    id: `e5b2907c14da${index.toString(16).padStart(4, '0')}`,
    path: `/sheets/3/${index}`,
    headers: {
      'Jujubelanding-Model': 'm',
      'Jujubelanding-Token-Usage': '350,64',
      'Jujubelanding-Prompt-Prefix': `aa01:100,5d${index.toString(16)}:250`,
    },
    body: 'c2hlZXQ=',
    tokenCount: 414,
  };
  const { status } = await call(vm.front, {
    target: `/sheets/${job}`,
    headers: { 'jujubelanding-attempt-id': job, 'content-type': 'application/json' },
    body: JSON.stringify({ items: [item] }),
  });
  if (status !== 202) throw new Error(`a job got status ${status}`);
  return job;
};

const readResult = async (vm, job) => {
  const startedAt = performance.now();
  while (performance.now() - startedAt < RESULT_LIMIT_MS) {
    const { status, text } = await call(vm.front, {
      method: 'GET',
      target: `/lots/${job}?after=0`,
      headers: { 'jujubelanding-wait-ms': '1000' },
    });
    const [result] = status === 200 ? JSON.parse(text).results : [];
    if (result !== undefined) return result;
    await sleep(200);
  }
  throw new Error(`job ${job} has no result`);
};

const check = ({ id, state }) => {
  const count = failures.get(id) ?? 0;
  record.write(`result ${id}: ${state}, ${count} runs answered with 500`);
  if (state !== 'dead_lettered' || count >= MAX_ATTEMPTS) return [];
  return [`MIXED: ${id} is dead_lettered after ${count} of ${MAX_ATTEMPTS} answers of 500`];
};

const play = async () => {
  await fleet.startStore();
  fleet.store.put('op/config', CONFIGURATION);
  const program = new URL('worker.mjs', import.meta.url);
  await fleet.startWorker('glass-advisor', FAULTY_WORKER, program);
  await fleet.startWorker('glass-advisor', WORKER, program);
  for (let index = 0; index < VMS; index += 1) await fleet.startVm(index);
  await fleet.awaitReady();
  await sleep(BOUNDS.contactMs);
  const vms = [...fleet.vms.values()];
  const results = [];
  for (let index = 0; index < JOBS; index += 1) {
    const job = await submit(vms[index % VMS], index);
    results.push(readResult(vms[(index + 1) % VMS], job));
    await sleep(JOB_INTERVAL_MS);
  }
  const violations = (await Promise.all(results)).flatMap(check);
  const counts = [...answers].map(([worker, count]) => `${worker} ${count}`).join(', ');
  record.write(`answers: ${counts}; sent twice: ${copies}`);
  return violations;
};

await runCase(record, play, () => fleet.close());
