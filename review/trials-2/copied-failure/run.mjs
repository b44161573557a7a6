/** A second copy of a worker's answer counts as another failed run of an item, which is given up early. */
import console from 'node:console';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createConfiguration, JOB, readResults, SERVICE, submit } from '../../lib-2/batch.mjs';
import { call, HOST } from '../../lib-2/client.mjs';
import { Deployment, runCase, Verdict } from '../../lib-2/deployment.mjs';
import { Store } from '../../lib-2/store.mjs';
import { Worker, writeEvents } from '../../lib-2/worker.mjs';

const WORKERS = 6;

const MAX_ATTEMPTS = 3;

/** Runs of the item that fail, one less than allowed. */
const FAILING_RUNS = 2;

/** Time after which a run fails. */
const FAILURE_MS = 600;

/** Length of the impairment, in which one answer of a worker has a copy. */
const WINDOW_MS = 5000;

/** Share of the answers of a worker that may have a copy. */
const MAX_SHARE = 0.03;

const LOOKUP_GAP_MS = 8;

const EVENTS = 10;

const store = new Store();
const deployment = new Deployment(store, path.dirname(fileURLToPath(import.meta.url)));

/** Times of all answers by worker. */
const answers = new Map();

let runs = 0;

let failures = 0;

/** Share of the answers of the worker that have a copy. */
let share = 0;

let isTroubled = true;

let isOver = false;

/** Connection on which a copy is due, and the copy. */
let copy;

const countAnswer = (worker) =>
  answers.set(worker.id, [...(answers.get(worker.id) ?? []), performance.now()]);

/** Returns the number of answers of a worker in the impairment that ends now. */
const countRecent = (worker) =>
  (answers.get(worker.id) ?? []).filter((at) => performance.now() - at < WINDOW_MS).length;

const answerLookup = ({ response, head, worker }) => {
  countAnswer(worker);
  response.writeHead(200, { ...head, 'Content-Length': 2 }).end('ok');
};

const formatResponse = (head, body) =>
  [
    'HTTP/1.1 500 Internal Server Error',
    ...Object.entries(head).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');

/** Fails a run, and keeps a copy of the first failure for the next answer on its connection. */
const fail = (run, { response, head, worker }) => {
  const body = 'failed';
  const { socket } = response;
  setTimeout(() => {
    if (response.destroyed) return;
    failures += 1;
    countAnswer(worker);
    deployment.record('answers-500', { run, worker: worker.id });
    response.writeHead(500, { ...head, 'Content-Length': body.length }).end(body);
    if (isTroubled && run === 1) copy = { socket, text: formatResponse(head, body) };
  }, FAILURE_MS);
};

const answerItem = (arrival) => {
  runs += 1;
  const { response, head, worker, id, lastEventId } = arrival;
  const run = runs;
  deployment.record('run-begins', { run, item: id, worker: worker.id });
  response.once('close', () => deployment.record('run-ends', { run }));
  if (copy?.socket === response.socket) {
    share = 1 / countRecent(worker);
    deployment.record('sends-copy', { worker: worker.id, answersInWindow: 1 / share });
    response.socket.write(copy.text);
    copy = undefined;
  }
  if (run <= FAILING_RUNS) {
    fail(run, arrival);
    return;
  }
  const dataOf = (event) => `${event}`;
  writeEvents(response, head, { after: lastEventId ?? 0, count: EVENTS, gapMs: 100, dataOf });
};

const answer = (arrival) =>
  arrival.path.startsWith('/pule252/') ? answerItem(arrival) : answerLookup(arrival);

const createRoutes = () => {
  const configuration = createConfiguration(3, { maxAttempts: MAX_ATTEMPTS });
  const lookup = {
    name: 'lookup',
    host: HOST,
    prefix: '/kati510/',
    kind: 'idempotent',
    service: SERVICE,
    timeoutMs: 1500,
    sloMs: 200,
    maxAttempts: 2,
  };
  return { ...configuration, routes: [...configuration.routes, lookup] };
};

/** Keeps the workers answering until the end; through a VM of its own, so that it takes no connections. */
const lookUp = async (vm) => {
  for (let index = 0; !isOver; index += 1) {
    const headers = {
      'Jujubelanding-Attempt-Id': `l${index}`,
      'Jujubelanding-Deadline-Ms': '1500',
    };
    await call(vm.address, 'GET', '/kati510/part', headers);
    await sleep(LOOKUP_GAP_MS);
  }
};

const play = async (hasTrouble) => {
  isTroubled = hasTrouble;
  for (let index = 1; index <= WORKERS; index += 1) {
    await deployment.addWorker(new Worker(`i-${index}`, { service: SERVICE, answer }));
  }
  for (const zone of ['a', 'b']) await deployment.addVm(`front-${zone}-1`, zone);
  store.put('op/config', createRoutes());
  await deployment.start();
  const [vm, other] = deployment.vms;
  const lookups = lookUp(other);
  await sleep(4000);
  await submit(deployment, vm, 1, JOB);
  let results = [];
  await deployment.waitUntil('the result', 30_000, async () => {
    await sleep(300);
    results = await readResults(vm);
    return results.length === 1;
  });
  isOver = true;
  await lookups;
  const [{ state }] = results;
  deployment.record('result', { state, failures, runs });
  console.log(`the item is ${state} after ${failures} answers of 500 in ${runs} runs`);
  if (isTroubled && (share === 0 || share > MAX_SHARE)) return Verdict.NotRun;
  return state === 'dead_lettered' && failures < MAX_ATTEMPTS ? Verdict.Broken : Verdict.Held;
};

await runCase(deployment, play);
