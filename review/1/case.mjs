/**
 * Workers answer without a length. One after the other crashes: its channels are reset between two events
 * of the items that it runs.
 */
import { Buffer } from 'node:buffer';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from '../lib/client.mjs';
import { createEvent, createOutput, EVENT_MS } from '../lib/engine.mjs';
import { runScenario } from '../lib/scenario.mjs';
import { Worker } from '../lib/worker.mjs';

const HOST = 'desk.example';
const EVENTS = 120;
const ITEMS = 10;
const JOBS = 12;

/** One of seven workers is a share of 0.143; `srv_crash` allows 0.15. */
const WORKERS = 7;
const CRASHES = 4;
const CRASH_EVERY_MS = 5500;
const DOWN_MS = 4500;
const JOB_EVERY_MS = 2000;
const READ_UNTIL_MS = 60_000;

const ROUTE = {
  name: 'match-sheet-lot',
  host: HOST,
  prefix: '/lot/',
  kind: 'batch',
  service: 'glass-advisor',
  timeoutMs: 15_000,
  sloMs: 500,
  priority: 2,
  maxAttempts: 3,
  dueMs: 18_000,
  itemTtlS: 60,
  resumable: true,
};

const SERVICE = { name: 'glass-advisor', healthPath: '/healthz', maxConns: 300 };

/** Answers as an engine whose answers have no length and end with their channel. */
const createEngine = (record) => async (request, channel, worker) => {
  const { id, headers } = request;
  const resumedAfter = Number(headers['last-event-id'] ?? 0);
  record.write('run', worker.id, id, `after ${resumedAfter}`);
  channel.writeHead(200, {
    ...worker.sign(request),
    'Content-Type': 'text/event-stream',
    Connection: 'close',
  });
  for (let number = resumedAfter + 1; number <= EVENTS && channel.isOpen; number += 1) {
    await sleep(EVENT_MS);
    channel.write(createEvent(id, number));
  }
  if (channel.isOpen) record.write('ran', worker.id, id);
  channel.socket.end();
};

const crashInTurn = async ({ store, record }, workers) => {
  for (const worker of workers.slice(0, CRASHES)) {
    await sleep(CRASH_EVERY_MS - DOWN_MS);
    record.write('crash', worker.id, 'its channels are reset');
    worker.crash();
    await sleep(DOWN_MS);
    await worker.listen();
    store.put(`servers/${worker.id}`, worker.describe());
    record.write('back', worker.id);
  }
};

const toHex = (number) => number.toString(16).padStart(4, '0');

const createItems = (job) =>
  Array.from({ length: ITEMS }, (_, index) => ({
    id: `e5b2907c${toHex(job)}${toHex(index)}`,
    path: `/lot/${job}/${index}`,
    headers: {
      'Jujubelanding-Model': 'm',
      'Jujubelanding-Token-Usage': '350,1000',
      'Jujubelanding-Prompt-Prefix': `9c2e41:100,${toHex(job)}${toHex(index)}:250`,
    },
    body: Buffer.from(`sheet ${job} ${index}`).toString('base64'),
    tokenCount: 1350,
  }));

await runScenario(import.meta.url, async (scenario) => {
  const { record, hasTrouble, vms } = scenario;
  scenario.configure([ROUTE], [SERVICE]);
  const workers = [];
  for (let index = 0; index < WORKERS; index += 1) {
    const options = { service: SERVICE.name, answer: createEngine(record) };
    const worker = new Worker(`worker-${index + 1}`, options);
    await scenario.addWorker(worker);
    workers.push(worker);
  }
  await scenario.startVms(3);
  const breaks = [];
  const jobs = [];
  const submit = async (job) => {
    const id = `7c41e09b52d6${toHex(job)}`;
    const body = Buffer.from(JSON.stringify({ items: createItems(job) }));
    const headers = { 'Jujubelanding-Attempt-Id': id, 'Content-Type': 'application/json' };
    const address = vms[job % vms.length].front;
    const seen = await call({ address, path: `/lot/${toHex(job)}`, host: HOST, headers, body });
    record.write('submitted', id, address, seen.status);
    if (seen.status === 202) jobs.push({ id, after: 0 });
  };
  const read = async (job) => {
    const address = vms[Math.floor(Math.random() * vms.length)].front;
    const path = `/lots/${job.id}?after=${job.after}`;
    const seen = await call({ address, method: 'GET', path, host: HOST });
    if (seen.status !== 200) return;
    const { next, results } = JSON.parse(seen.body);
    Object.assign(job, { after: next });
    for (const { id, state, output } of results) {
      const count = output === '' ? 0 : output.split('\n').length;
      record.write('listed', job.id, id, state, `${count} events`);
      if (state === 'completed' && output !== createOutput(id, EVENTS)) {
        breaks.push(`${id}: completed with ${count} of ${EVENTS} events`);
      }
    }
  };
  const crashes = hasTrouble ? crashInTurn(scenario, workers) : undefined;
  const until = Date.now() + READ_UNTIL_MS;
  for (let job = 0; job < JOBS; job += 1) {
    await submit(job);
    await Promise.all(jobs.map(read));
    await sleep(JOB_EVERY_MS);
  }
  await crashes;
  while (Date.now() < until && jobs.some(({ after }) => after < ITEMS)) {
    await Promise.all(jobs.map(read));
    await sleep(500);
  }
  return breaks;
});
