/**
 * Callers send sound streams, and now and then one with a prompt part that crashes each worker that begins to
 * write an answer on it: the worker writes its first event and ends. Counts the requests with the part that
 * reach workers later than contactMs after the fifth crash.
 */
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { BOUNDS, call, Fleet, LIMITS, CALLER_HOST } from '../lib-3/fleet.mjs';
import { hasTrouble, openRecord, runCase } from '../lib-3/run-case.mjs';

const VMS = 3;
const WORKERS = 6;
const SLOTS = 8;
const EVENTS = 31;
const DURATION_MS = 45_000;
const SOUND_INTERVAL_MS = 60;
const CRASHING_INTERVAL_MS = 1000;
/** A worker is back after some seconds. */
const DOWN_MS = 3000;
const CRASHES_TO_LEARN = 5;
const MAX_LATE = 3;

/** With `CRASH_AT=head` workers crash before their first event, as a comparison. */
const crashesBeforeEvent = process.env.CRASH_AT === 'head';

const ENGINE = { slots: SLOTS, prefillMs: 30, stepMs: 12, events: EVENTS, isFramed: true };
const CRASH_PART = 'bad0bad0';
const FIRST_PARTS = ['aa01', 'aa02', 'aa03', 'aa04'];

const CONFIGURATION = {
  version: 4,
  routes: [
    {
      name: 'fit-query-long',
      host: CALLER_HOST,
      prefix: '/fit/',
      kind: 'streaming',
      timeoutMs: 5000,
      sloMs: 300,
      priority: 0,
      service: 'glass-advisor',
      maxAttempts: 1,
      sticky: true,
      resumable: false,
      gapTargetMs: 400,
    },
  ],
  services: [
    { name: 'glass-advisor', healthPath: '/healthz', maxConns: 300, runtime: { slots: SLOTS } },
  ],
  limits: LIMITS,
};

const record = openRecord(import.meta.url);
const crashes = [];
const arrivals = [];
let isOver = false;

const fleet = new Fleet((message) => {
  const { type, request, worker, at, parts } = message;
  if (type === 'arrival') {
    const isCrashing = parts.includes(CRASH_PART);
    if (isCrashing) arrivals.push({ request, worker, at });
    record.write(`worker ${worker} got ${request}${isCrashing ? ' (crashing part)' : ''}`, at);
  } else if (type === 'crash') {
    crashes.push({ request, worker, at });
    record.write(`worker ${worker} crashes on ${request}, crash ${crashes.length}`, at);
  } else if (type === 'begin') record.write(`worker ${worker} runs ${request}`, at);
});

const startWorker = async () => {
  const settings = {
    ...ENGINE,
    crashPart: hasTrouble ? CRASH_PART : undefined,
    crashAt: crashesBeforeEvent ? 'head' : 'event',
  };
  const worker = await fleet.startWorker('glass-advisor', settings);
  record.write(`worker ${worker.id} is up`);
  worker.child.on('exit', async () => {
    if (isOver) return;
    await sleep(DOWN_MS);
    if (!isOver) await startWorker();
  });
};

let sent = 0;

const ask = async (parts) => {
  sent += 1;
  const id = `${sent.toString(16).padStart(16, '0')}`;
  const vms = [...fleet.vms.values()];
  const vm = vms[sent % vms.length];
  const own = `c${id}`;
  const prefix = [...parts, own].map((part) => `${part}:100`).join(',');
  record.write(`send ${id} to ${vm.name}, prompt ${prefix}`);
  const answer = await call(vm.front, {
    target: `/fit/${id}`,
    headers: {
      'jujubelanding-attempt-id': id,
      'jujubelanding-deadline-ms': '5000',
      'jujubelanding-model': 'm',
      'jujubelanding-token-usage': '450,62',
      'jujubelanding-prompt-prefix': prefix,
    },
    body: `question ${id}`,
  });
  const { status, isWhole, text } = answer;
  const events = text.split('\n\n').length - 1;
  record.write(`answer ${id}: ${status ?? 'none'}, ${isWhole ? 'whole' : 'cut'}, ${events} events`);
  return answer;
};

const pick = (list) => list[Math.floor(Math.random() * list.length)];

const play = async () => {
  await fleet.startStore();
  fleet.store.put('op/config', CONFIGURATION);
  for (let index = 0; index < WORKERS; index += 1) await startWorker();
  for (let index = 0; index < VMS; index += 1) await fleet.startVm(index);
  await fleet.awaitReady();
  await sleep(BOUNDS.contactMs);
  const startedAt = performance.now();
  const answers = [];
  let nextCrashing = startedAt + 3000;
  while (performance.now() - startedAt < DURATION_MS) {
    answers.push(ask([pick(FIRST_PARTS), `5e55${(sent % 40).toString(16)}`]));
    if (performance.now() >= nextCrashing) {
      nextCrashing += CRASHING_INTERVAL_MS;
      void ask([pick(FIRST_PARTS), CRASH_PART]);
    }
    await sleep(SOUND_INTERVAL_MS);
  }
  const ended = await Promise.all(answers);
  isOver = true;
  const whole = ended.filter(({ status, isWhole }) => status === 200 && isWhole).length;
  const learnedAt = (crashes[CRASHES_TO_LEARN - 1]?.at ?? Infinity) + BOUNDS.contactMs;
  const late = arrivals.filter(({ at }) => at > learnedAt);
  record.write(`sound requests: ${ended.length}, answered whole: ${whole}`);
  record.write(
    `requests with the part that reached workers: ${arrivals.length}, late: ${late.length}; ` +
      `crashes: ${crashes.length}`,
  );
  if (!hasTrouble && whole < ended.length) throw new Error('a sound request was not answered');
  return late.length > MAX_LATE
    ? late.map(({ request, worker, at }) => {
        const lateMs = Math.round(at - learnedAt + BOUNDS.contactMs);
        return `BUDGET: ${request} reached ${worker} ${lateMs} ms after the fifth crash`;
      })
    : [];
};

await runCase(record, play, async () => {
  isOver = true;
  await fleet.close();
});
