/**
 * A burst of nine batch jobs. The items of the first two are larger than the memory of a worker, which
 * refuses them as if it were full. Looks for items of the other jobs that are not listed when deadlineS is
 * over, though all workers are idle.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS, call, CALLER_HOST, Fleet, LIMITS } from '../lib-3/fleet.mjs';
import { hasTrouble, openRecord, runCase } from '../lib-3/run-case.mjs';

const VMS = 3;
const WORKERS = 6;
const SLOTS = 8;

/** Tokens for which a worker has memory, as on the sheet. */
const MEMORY_TOKENS = 147_261;

/** Tokens of the prompt and the most of the output. */
const USAGE = '350,1700';
const LARGE_USAGE = '148000,1700';

/** The burst of the site file is 3.1 jobs a second for 3 s, and its largest jobs have 24 items. */
const LARGE_JOBS = 2;
const SOUND_JOBS = 7;
const ITEMS = 24;
const JOB_INTERVAL_MS = 330;

const TRAFFIC_MS = 12_000;
const REQUEST_INTERVAL_MS = 250;
const REQUEST_TIMEOUT_MS = 5000;
const ITEM_TTL_S = 60;

const MS_PER_SECOND = 1000;
const CALM_MS = 4000;

/** Time for which the workers must have had no unlisted item of a job, by the rule. */
const IDLE_MS = 5000;

/** Time in which no item of any job may have been finished, by the rule. */
const QUIET_MS = 3000;

/** Items that failed at a worker in this time don't count, by the rule. */
const FAILED_MS = 20_000;

/** An item takes 4.7 s, as on the sheet. */
const ENGINE = {
  slots: SLOTS,
  prefillMs: 30,
  stepMs: 22,
  events: 212,
  shortPath: '/fit/',
  shortEvents: 30,
  memoryTokens: MEMORY_TOKENS,
  isFramed: true,
};

const SHARED = {
  host: CALLER_HOST,
  service: 'glass-advisor',
  sticky: true,
  resumable: true,
};

const CONFIGURATION = {
  version: 4,
  routes: [
    {
      ...SHARED,
      name: 'match-sheet-lot',
      prefix: '/sheets/',
      kind: 'batch',
      timeoutMs: 15_000,
      sloMs: 500,
      priority: 2,
      maxAttempts: 3,
      dueMs: 18_000,
      itemTtlS: ITEM_TTL_S,
    },
    {
      ...SHARED,
      name: 'fit-query',
      prefix: '/fit/',
      kind: 'streaming',
      timeoutMs: REQUEST_TIMEOUT_MS,
      sloMs: 300,
      priority: 0,
      maxAttempts: 2,
      gapTargetMs: 400,
    },
  ],
  services: [
    { name: 'glass-advisor', healthPath: '/healthz', maxConns: 300, runtime: { slots: SLOTS } },
  ],
  limits: LIMITS,
};

const record = openRecord(import.meta.url);

/** Requests and items that workers are running. */
const running = new Set();

/** Items that a worker has begun to run. */
const begun = new Set();

/** Time of the last sign of each item at a worker. */
const lastSeen = new Map();

/** Time of the last run of each item that did not end whole. */
const lastFailed = new Map();

/** Time of the last end of an item of any job. */
let lastEnd = -Infinity;

let refusals = 0;

const isItem = (id) => id.startsWith('e5b2');

const fleet = new Fleet(({ type, request, worker, at, isWhole }) => {
  if (type === 'refusal') refusals += 1;
  if (type === 'begin') running.add(request);
  if (type === 'end') running.delete(request);
  if (type === 'refusal' || !isItem(request)) return;
  lastSeen.set(request, at);
  if (type === 'begin') {
    begun.add(request);
    record.write(`worker ${worker} runs ${request}`, at);
  }
  if (type === 'end') {
    lastEnd = at;
    if (!isWhole) lastFailed.set(request, at);
    record.write(`worker ${worker} ends ${request}, whole: ${isWhole}`, at);
  }
});

const createHeaders = (id, usage) => ({
  'Jujubelanding-Model': 'm',
  'Jujubelanding-Token-Usage': usage,
  'Jujubelanding-Prompt-Prefix': `9c2e41:100,${id}:${Number(usage.split(',')[0]) - 100}`,
});

const countTokens = (usage) => usage.split(',').reduce((sum, tokens) => sum + Number(tokens), 0);

const submit = async (vm, index, usage) => {
  const job = `7c41e09b52d6${index.toString(16).padStart(4, '0')}`;
  const items = Array.from({ length: ITEMS }, (_, item) => {
    const id = `e5b2907c14${(index * 256 + item).toString(16).padStart(6, '0')}`;
    return {
      id,
      path: `/sheets/3/${item}`,
      headers: createHeaders(id, usage),
      body: 'c2hlZXQ=',
      tokenCount: countTokens(usage),
    };
  });
  const { status } = await call(vm.front, {
    target: `/sheets/${job}`,
    headers: { 'jujubelanding-attempt-id': job, 'content-type': 'application/json' },
    body: JSON.stringify({ items }),
  });
  record.write(`job ${job} of ${ITEMS} items (tokens ${usage}) sent to ${vm.name}: ${status}`);
  if (status !== 202) throw new Error('a job was not accepted');
  return { job, ids: items.map(({ id }) => id) };
};

const submitAll = async (vms) => {
  const sound = [];
  for (let index = 0; index < LARGE_JOBS + SOUND_JOBS; index += 1) {
    const isLarge = index < LARGE_JOBS && hasTrouble;
    const submitted = await submit(vms[index % VMS], index, isLarge ? LARGE_USAGE : USAGE);
    if (!isLarge) sound.push(submitted);
    await sleep(JOB_INTERVAL_MS);
  }
  return sound;
};

let requests = 0;
let served = 0;

const ask = async (vm) => {
  requests += 1;
  const id = requests.toString(16).padStart(16, '0');
  const { status, isWhole } = await call(vm.front, {
    target: `/fit/${id}`,
    headers: {
      'jujubelanding-attempt-id': id,
      'jujubelanding-deadline-ms': String(REQUEST_TIMEOUT_MS),
      ...createHeaders(id, '350,240'),
    },
    body: `question ${id}`,
  });
  if (status === 200 && isWhole) served += 1;
};

const askUntil = async (vms, endAt) => {
  const answers = [];
  while (performance.now() < endAt) {
    answers.push(ask(vms[requests % VMS]));
    await sleep(REQUEST_INTERVAL_MS);
  }
  await Promise.all(answers);
  record.write(`online requests: ${served} of ${requests} served; the traffic has ended`);
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
  const isBusy = running.size * 2 >= WORKERS * SLOTS;
  const isQuiet = now - lastEnd > QUIET_MS;
  record.write(
    `job ${job}: ${states.size} results; a worker had an unlisted item in the last 5 s: ${hadItem}; ` +
      `requests at workers: ${running.size}; no item finished in the last 3 s: ${isQuiet}`,
  );
  if (hadItem || isBusy || !isQuiet) return [];
  const isOwed = (id) => now - (lastFailed.get(id) ?? -Infinity) > FAILED_MS;
  return unlisted
    .filter(isOwed)
    .map((id) => `LOST: ${id} of job ${job} is not listed, and no worker has it`);
};

const describeEnd = async (vm, jobs) => {
  const states = new Map();
  for (const submitted of jobs) {
    (await readStates(vm, submitted)).forEach((state, id) => states.set(id, state));
  }
  const dead = [...states].filter(([, state]) => state === 'dead_lettered').map(([id]) => id);
  const neverRun = dead.filter((id) => !begun.has(id)).length;
  record.write(
    `at the end: ${states.size} results of the sound jobs, ${dead.length} dead_lettered, ` +
      `${neverRun} of these without a run; ${refusals} refusals by workers`,
  );
};

const play = async () => {
  await fleet.startStore();
  fleet.store.put('op/config', CONFIGURATION);
  for (let index = 0; index < WORKERS; index += 1) {
    await fleet.startWorker('glass-advisor', ENGINE);
  }
  for (let index = 0; index < VMS; index += 1) await fleet.startVm(index);
  await fleet.awaitReady();
  await sleep(CALM_MS);
  const vms = [...fleet.vms.values()];
  const startedAt = performance.now();
  const [sound] = await Promise.all([submitAll(vms), askUntil(vms, startedAt + TRAFFIC_MS)]);
  await sleep(BOUNDS.deadlineS * MS_PER_SECOND);
  const violations = [];
  for (const submitted of sound) violations.push(...(await check(vms[0], submitted)));
  const endAt = startedAt + (ITEM_TTL_S + 5) * MS_PER_SECOND;
  if (violations.length > 0) await sleep(endAt - performance.now());
  await describeEnd(vms[0], sound);
  return violations;
};

await runCase(record, play, () => fleet.close());
