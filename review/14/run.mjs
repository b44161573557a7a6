/**
 * All workers of a service crash at the same moment, while they read the prompts of a batch job that has just
 * been accepted, and are back after 3 s. Nothing else happens. Looks at the job when deadlineS is over.
 */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS, call, CALLER_HOST, Fleet, LIMITS } from '../lib-3/fleet.mjs';
import { hasTrouble, openRecord, runCase } from '../lib-3/run-case.mjs';

const VMS = 3;
const WORKERS = 6;
const SLOTS = 8;
const EVENTS = 40;
const ITEMS = 12;
const DOWN_MS = 3000;

/** Time from the first item at a worker until the crash; the first events come later. */
const CRASH_AFTER_MS = 150;

const MS_PER_SECOND = 1000;

/** Items that failed at a worker in this time don't count, by the rule. */
const FAILED_MS = 20_000;
const QUIET_MS = 3000;

const ENGINE = { slots: SLOTS, prefillMs: 400, stepMs: 22, events: EVENTS, isFramed: true };

const JOB = '7c41e09b52d6a3f8';

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
    {
      name: 'fit-query',
      host: CALLER_HOST,
      prefix: '/fit/',
      kind: 'streaming',
      timeoutMs: 5000,
      sloMs: 300,
      priority: 0,
      service: 'glass-advisor',
      maxAttempts: 2,
      sticky: true,
      resumable: true,
      gapTargetMs: 400,
    },
  ],
  services: [
    { name: 'glass-advisor', healthPath: '/healthz', maxConns: 300, runtime: { slots: SLOTS } },
  ],
  limits: LIMITS,
};

const record = openRecord(import.meta.url);

/** Times of the last run of an item at a worker and of the last whole answer of one. */
const last = { run: 0, end: 0 };

let noteFirst = () => {};

const first = new Promise((resolve) => {
  noteFirst = resolve;
});

const fleet = new Fleet(({ type, request, worker, after, at, isWhole }) => {
  if (type === 'begin') {
    record.write(`worker ${worker} runs ${request} after event ${after}`, at);
    noteFirst();
  }
  if (type === 'begin' || type === 'event') last.run = at;
  if (type === 'end') {
    last.end = at;
    record.write(`worker ${worker} ends ${request}, whole: ${isWhole}`, at);
  }
});

const startWorkers = async () => {
  for (let index = 0; index < WORKERS; index += 1) {
    const { id } = await fleet.startWorker('glass-advisor', ENGINE);
    record.write(`worker ${id} is up`);
  }
};

const submit = async (vm) => {
  const items = Array.from({ length: ITEMS }, (_, index) => ({
    id: `e5b2907c14da${index.toString(16).padStart(4, '0')}`,
    path: `/sheets/3/${index}`,
    headers: {
      'Jujubelanding-Model': 'm',
      'Jujubelanding-Token-Usage': '350,320',
      'Jujubelanding-Prompt-Prefix': `9c2e41:100,5d07${index}:250`,
    },
    body: 'c2hlZXQ=',
    tokenCount: 670,
  }));
  const { status } = await call(vm.front, {
    target: `/sheets/${JOB}`,
    headers: { 'jujubelanding-attempt-id': JOB, 'content-type': 'application/json' },
    body: JSON.stringify({ items }),
  });
  record.write(`job ${JOB} sent to ${vm.name}: ${status}`);
  if (status !== 202) throw new Error('the job was not accepted');
  return items.map(({ id }) => id);
};

const readResults = async (vm) => {
  const { status, text } = await call(vm.front, { method: 'GET', target: `/lots/${JOB}?after=0` });
  if (status !== 200) throw new Error(`reading the job got status ${status}`);
  return JSON.parse(text).results;
};

/** Sends an online request with the part that the items share; for the record only. */
const askOnline = async (vm) => {
  const { status, headers } = await call(vm.front, {
    target: '/fit/1',
    headers: {
      'jujubelanding-attempt-id': '9c41d07be2a35f68',
      'jujubelanding-deadline-ms': '5000',
      'jujubelanding-model': 'm',
      'jujubelanding-token-usage': '350,320',
      'jujubelanding-prompt-prefix': '9c2e41:100,c0ffee:250',
    },
  });
  const retryAfter = headers['retry-after'] ?? 'none';
  record.write(`an online request with the same part: ${status}, Retry-After ${retryAfter}`);
};

const crashAll = async () => {
  await sleep(CRASH_AFTER_MS);
  const workers = [...fleet.workers.values()];
  record.write(`all ${workers.length} workers crash`);
  workers.forEach(({ child }) => child.kill('SIGKILL'));
  await sleep(DOWN_MS);
  await startWorkers();
};

const play = async () => {
  await fleet.startStore();
  fleet.store.put('op/config', CONFIGURATION);
  await startWorkers();
  const onLine = (line) => {
    if (/part=quarantine/.test(line)) record.write(`log ${line.replace(/^.*?event=/, '')}`);
  };
  for (let index = 0; index < VMS; index += 1) await fleet.startVm(index, { onLine });
  await fleet.awaitReady();
  await sleep(BOUNDS.contactMs);
  const [vm, other] = fleet.vms.values();
  const ids = await submit(vm);
  if (hasTrouble) {
    await first;
    await crashAll();
  }
  const endAt = performance.now() + BOUNDS.deadlineS * MS_PER_SECOND;
  record.write('traffic has ended');
  while (performance.now() < endAt) await sleep(100);
  const results = await readResults(other);
  const now = performance.now();
  results.forEach(({ id, state }) => record.write(`result ${id}: ${state}`));
  record.write(
    `${results.length} of ${ITEMS} items are listed; last run ${Math.round(now - last.run)} ms ago`,
  );
  await askOnline(other);
  const listed = new Set(results.map(({ id }) => id));
  const isExcused = now - last.run < FAILED_MS || now - last.end < QUIET_MS;
  if (isExcused) return [];
  return ids
    .filter((id) => !listed.has(id))
    .map((id) => `LOST: ${id} is not listed, ${BOUNDS.deadlineS} s after the traffic has ended`);
};

await runCase(record, play, () => fleet.close());
