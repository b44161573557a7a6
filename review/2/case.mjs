/**
 * A resumable stream loses its worker midway and is continued at another worker, which answers the
 * continuation with its own 500.
 */
import { Buffer } from 'node:buffer';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from '../lib/client.mjs';
import { runScenario } from '../lib/scenario.mjs';
import { Worker } from '../lib/worker.mjs';

const HOST = 'desk.example';
const EVENTS = 31;
const EVENT_MS = 25;

/** One of seven workers is a share of 0.143; `srv_crash` and `srv_grey` allow 0.15 each. */
const WORKERS = 7;

/** Share of its requests that the grey worker fails. */
const FAILED_SHARE = 0.4;

const TRAFFIC_MS = 70_000;
const REQUESTS_PER_SECOND = 50;
const CRASH_EVERY_MS = 5500;
const DOWN_MS = 4500;

const ROUTE = {
  name: 'fit-query',
  host: HOST,
  prefix: '/fit/',
  kind: 'streaming',
  service: 'glass-advisor',
  timeoutMs: 5000,
  sloMs: 300,
  gapTargetMs: 400,
  priority: 0,
  maxAttempts: 2,
  resumable: true,
};

const SERVICE = { name: 'glass-advisor', healthPath: '/healthz', maxConns: 300 };

const createEvent = (id, number) => `id: ${number}\ndata: ${id} part ${number}\n\n`;

const createAnswer = (id) =>
  Array.from({ length: EVENTS }, (_, index) => createEvent(id, index + 1)).join('');

/** Answers as an engine that streams its events; the grey worker fails a share of its requests. */
const createEngine = (record, isGrey) => async (request, channel, worker) => {
  const { id, headers } = request;
  const resumedAfter = Number(headers['last-event-id'] ?? 0);
  record.write('run', worker.id, id, `after ${resumedAfter}`);
  if (isGrey() && Math.random() < FAILED_SHARE) {
    const body = '{"error":"internal error of the engine"}\n';
    record.write('failed', worker.id, id, 500, `after ${resumedAfter}`);
    channel.writeHead(500, { ...worker.sign(request), 'Content-Length': body.length });
    channel.write(body);
    return;
  }
  channel.writeHead(200, {
    ...worker.sign(request),
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
  });
  for (let number = resumedAfter + 1; number <= EVENTS && channel.isOpen; number += 1) {
    await sleep(EVENT_MS);
    channel.writeChunk(createEvent(id, number));
  }
  channel.write('0\r\n\r\n');
  record.write('ran', worker.id, id);
};

/** Crashes one worker after the other; each is back after some seconds, as a new run. */
const crashInTurn = async ({ store, record }, workers, until) => {
  for (let turn = 0; Date.now() + DOWN_MS < until; turn += 1) {
    const worker = workers[turn % workers.length];
    await sleep(CRASH_EVERY_MS - DOWN_MS);
    record.write('crash', worker.id);
    worker.crash();
    await sleep(DOWN_MS);
    await worker.listen();
    store.put(`servers/${worker.id}`, worker.describe());
    record.write('back', worker.id);
  }
};

const describeBreak = (id, seen) => {
  if (seen.status !== 200 || !seen.isComplete || seen.body === createAnswer(id)) return undefined;
  const events = seen.body.match(/^id: /gm)?.length ?? 0;
  const foreign = seen.body.slice(seen.body.lastIndexOf('\n\n') + 2);
  return `${id}: status 200, complete, ${events} of ${EVENTS} events, then ${JSON.stringify(foreign)}`;
};

await runScenario(import.meta.url, async (scenario) => {
  const { store, record, hasTrouble, vms } = scenario;
  scenario.configure([ROUTE], [SERVICE]);
  const grey = { isOn: false };
  const workers = [];
  for (let index = 0; index < WORKERS; index += 1) {
    const isGrey = () => grey.isOn && index === WORKERS - 1;
    const options = { service: SERVICE.name, answer: createEngine(record, isGrey) };
    const worker = new Worker(`worker-${index + 1}`, options);
    await scenario.addWorker(worker);
    workers.push(worker);
  }
  await scenario.startVms(3);
  const breaks = [];
  const ask = async (number) => {
    const id = `q${String(number).padStart(6, '0')}`;
    const address = vms[number % vms.length].front;
    record.write('sent', id, address);
    const seen = await call({
      address,
      path: `/fit/${number}`,
      host: HOST,
      headers: { 'Jujubelanding-Attempt-Id': id, 'Jujubelanding-Deadline-Ms': 5000 },
      body: Buffer.from('which lens fits'),
    });
    record.write(
      'answered',
      id,
      seen.status,
      seen.isComplete ? 'complete' : 'cut',
      seen.body.length,
    );
    const found = describeBreak(id, seen);
    if (found !== undefined) breaks.push(found);
  };
  const until = Date.now() + TRAFFIC_MS;
  grey.isOn = hasTrouble;
  const crashes = hasTrouble
    ? crashInTurn({ store, record }, workers.slice(0, -1), until)
    : undefined;
  const asked = [];
  for (let number = 0; Date.now() < until; number += 1) {
    asked.push(ask(number));
    await sleep(1000 / REQUESTS_PER_SECOND);
  }
  await Promise.all(asked);
  await crashes;
  return breaks;
});
