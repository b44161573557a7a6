/**
 * A batch route is split between two services, nine to one. All workers of the smaller one are lost for good.
 * Then jobs come. Looks for items that are not listed when deadlineS is over, though all workers of the other
 * service are idle.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS, call, CALLER_HOST, Fleet, LIMITS } from '../lib-3/fleet.mjs';
import { hasTrouble, openRecord, runCase } from '../lib-3/run-case.mjs';

const VMS = 3;
const SLOTS = 8;

/** Workers and weights of the services. */
const MAIN = { name: 'glass-advisor', workers: 6, weight: 9 };
const NEXT = { name: 'glass-advisor-next', workers: 2, weight: 1 };

const JOBS = 9;
const ITEMS = 20;
const JOB_INTERVAL_MS = 700;

/** Time from the loss of the workers until the first job; their entries expire after 3.6 s. */
const LOST_MS = 8000;

const ITEM_TTL_S = 60;
const MS_PER_SECOND = 1000;
const CALM_MS = 4000;

/** Time for which the workers must have had no unlisted item of a job, by the rule. */
const IDLE_MS = 5000;

/** Time in which no item of any job may have been finished, by the rule. */
const QUIET_MS = 3000;

const ENGINE = { slots: SLOTS, prefillMs: 30, stepMs: 22, events: 100, isFramed: true };

const createService = ({ name }) => ({
  name,
  healthPath: '/healthz',
  maxConns: 300,
  runtime: { slots: SLOTS },
});

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
      split: [MAIN, NEXT].map(({ name, weight }) => ({ service: name, weight })),
      maxAttempts: 3,
      sticky: true,
      resumable: true,
      dueMs: 18_000,
      itemTtlS: ITEM_TTL_S,
    },
  ],
  services: [MAIN, NEXT].map(createService),
  limits: LIMITS,
};

const record = openRecord(import.meta.url);

/** Items that workers are running. */
const running = new Set();

/** Items that a worker has begun to run. */
const begun = new Set();

/** Time of the last sign of each item at a worker. */
const lastSeen = new Map();

/** Time of the last end of an item. */
let lastEnd = -Infinity;

const fleet = new Fleet(({ type, request, worker, at, isWhole }) => {
  lastSeen.set(request, at);
  if (type === 'begin') {
    running.add(request);
    begun.add(request);
    record.write(`worker ${worker} runs ${request}`, at);
  }
  if (type === 'end') {
    running.delete(request);
    lastEnd = at;
    record.write(`worker ${worker} ends ${request}, whole: ${isWhole}`, at);
  }
});

const startWorkers = async ({ name, workers }) => {
  const started = [];
  for (let index = 0; index < workers; index += 1) {
    started.push(await fleet.startWorker(name, ENGINE));
  }
  record.write(`workers of ${name}: ${started.map(({ id }) => id).join(', ')}`);
  return started;
};

const submit = async (vm, index) => {
  const job = `7c41e09b52d6${index.toString(16).padStart(4, '0')}`;
  const items = Array.from({ length: ITEMS }, (_, item) => {
    const id = `e5b2907c14${(index * 256 + item).toString(16).padStart(6, '0')}`;
    return {
      id,
      path: `/sheets/3/${item}`,
      headers: {
        'Jujubelanding-Model': 'm',
        'Jujubelanding-Token-Usage': '350,800',
        'Jujubelanding-Prompt-Prefix': `9c2e41:100,${id}:250`,
      },
      body: 'c2hlZXQ=',
      tokenCount: 1150,
    };
  });
  const { status } = await call(vm.front, {
    target: `/sheets/${job}`,
    headers: { 'jujubelanding-attempt-id': job, 'content-type': 'application/json' },
    body: JSON.stringify({ items }),
  });
  record.write(`job ${job} of ${ITEMS} items sent to ${vm.name}: ${status}`);
  if (status !== 202) throw new Error('a job was not accepted');
  return { job, ids: items.map(({ id }) => id) };
};

const readStates = async (vm, { job }) => {
  const states = new Map();
  for (;;) {
    const target = `/lots/${job}?after=${states.size}`;
    const { status, text } = await call(vm.front, { method: 'GET', target });
    if (status !== 200) throw new Error(`job ${job} cannot be read: ${status}`);
    const { results } = JSON.parse(text);
    results.forEach(({ id, state }) => states.set(id, state));
    if (results.length === 0 || states.size >= ITEMS) return states;
  }
};

const check = async (vm, submitted) => {
  const { job, ids } = submitted;
  const states = await readStates(vm, submitted);
  const now = performance.now();
  const unlisted = ids.filter((id) => !states.has(id));
  const hadItem = unlisted.some((id) => now - (lastSeen.get(id) ?? -Infinity) <= IDLE_MS);
  const isBusy = running.size * 2 >= MAIN.workers * SLOTS;
  const isQuiet = now - lastEnd > QUIET_MS;
  record.write(
    `job ${job}: ${states.size} results; a worker had an unlisted item in the last 5 s: ${hadItem}; ` +
      `items at workers: ${running.size}; no item finished in the last 3 s: ${isQuiet}`,
  );
  if (hadItem || isBusy || !isQuiet) return [];
  // Items that failed at a worker do not count; these here have not been at any.
  return unlisted
    .filter((id) => !lastSeen.has(id))
    .map((id) => `LOST: ${id} of job ${job} is not listed, and no worker has had it`);
};

const describeEnd = async (vm, jobs) => {
  const states = new Map();
  for (const submitted of jobs) {
    (await readStates(vm, submitted)).forEach((state, id) => states.set(id, state));
  }
  const dead = [...states].filter(([, state]) => state === 'dead_lettered').map(([id]) => id);
  const neverRun = dead.filter((id) => !begun.has(id)).length;
  record.write(
    `at the end: ${states.size} results of ${jobs.length * ITEMS}, ${dead.length} dead_lettered, ` +
      `${neverRun} of these without a run`,
  );
};

const play = async () => {
  await fleet.startStore();
  fleet.store.put('op/config', CONFIGURATION);
  await startWorkers(MAIN);
  const lost = await startWorkers(NEXT);
  for (let index = 0; index < VMS; index += 1) await fleet.startVm(index);
  await fleet.awaitReady();
  await sleep(CALM_MS);
  if (hasTrouble) {
    lost.forEach(({ child }) => child.kill('SIGKILL'));
    record.write(`all workers of ${NEXT.name} are lost for good`);
  }
  await sleep(LOST_MS);
  const vms = [...fleet.vms.values()];
  const startedAt = performance.now();
  const jobs = [];
  for (let index = 0; index < JOBS; index += 1) {
    jobs.push(await submit(vms[index % VMS], index));
    await sleep(JOB_INTERVAL_MS);
  }
  await sleep(BOUNDS.deadlineS * MS_PER_SECOND);
  const violations = [];
  for (const submitted of jobs) violations.push(...(await check(vms[0], submitted)));
  const endAt = startedAt + (ITEM_TTL_S + 8) * MS_PER_SECOND;
  if (violations.length > 0) await sleep(endAt - performance.now());
  await describeEnd(vms[0], jobs);
  return violations;
};

await runCase(record, play, () => fleet.close());
