/** Requests on kept connections during a planned stop: none that a worker runs may be cut. */
import console from 'node:console';
import { Agent, request } from 'node:http';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { createConfiguration, SERVICE } from '../../lib-2/batch.mjs';
import { HOST } from '../../lib-2/client.mjs';
import { Deployment, runCase, Verdict } from '../../lib-2/deployment.mjs';
import { Store } from '../../lib-2/store.mjs';
import { Worker, writeEvents } from '../../lib-2/worker.mjs';

const CLIENTS = 24;
const EVENTS = 10;
const ROUTE_MS = 3000;

/** Length of a stream; far below the time limit of the route. */
const GAP_MS = 200;

const store = new Store();
const deployment = new Deployment(store, path.dirname(fileURLToPath(import.meta.url)));

const ran = new Set();

const answer = ({ id, lastEventId, response, head }) => {
  ran.add(id);
  const dataOf = (event) => `${event}`;
  writeEvents(response, head, { after: lastEventId ?? 0, count: EVENTS, gapMs: GAP_MS, dataOf });
};

const send = (agent, vm, id) =>
  new Promise((resolve) => {
    const [host, port] = vm.address.split(':');
    const headers = {
      Host: HOST,
      'Jujubelanding-Attempt-Id': id,
      'Jujubelanding-Deadline-Ms': '5000',
    };
    const options = { agent, host, port, method: 'POST', path: '/pule252/2f', headers };
    const outgoing = request(options, (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () =>
        resolve(response.complete ? { status: response.statusCode } : { error: 'cut' }),
      );
    });
    outgoing.on('error', ({ code }) => resolve({ error: code }));
    outgoing.end('question');
  });

const cut = [];

const counts = {};

const runClient = async (vm, client, isOver) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let turn = 0; !isOver(); turn += 1) {
    const id = `c${client}t${turn}`;
    const sentAt = performance.now();
    const { status, error } = await send(agent, vm, id);
    const durationMs = performance.now() - sentAt;
    counts[status ?? error] = (counts[status ?? error] ?? 0) + 1;
    if (error !== undefined && ran.has(id) && durationMs < ROUTE_MS) {
      cut.push({ id, error, durationMs });
    }
    if (status === 503) await sleep(100);
    if (error === 'ECONNREFUSED') return;
  }
};

const play = async (isTroubled) => {
  for (const index of [1, 2, 3, 4]) {
    await deployment.addWorker(new Worker(`i-${index}`, { service: SERVICE, slots: 16, answer }));
  }
  for (const zone of ['a', 'b', 'c']) await deployment.addVm(`front-${zone}-1`, zone);
  const route = { name: 'fit', kind: 'streaming', maxAttempts: 1, timeoutMs: ROUTE_MS };
  store.put('op/config', createConfiguration(3, { ...route, gapTargetMs: 400 }));
  await deployment.start();
  const [vm] = deployment.vms;
  let isOver = false;
  const clients = Array.from({ length: CLIENTS }, (_, client) =>
    runClient(vm, client, () => isOver),
  );
  await sleep(3000);
  if (isTroubled) vm.signal('SIGTERM');
  await Promise.race([vm.exited, sleep(10_000)]);
  isOver = true;
  await Promise.all(clients);
  cut.forEach((entry) => deployment.record('LOST', entry));
  console.log(`${cut.length} requests at workers were cut`, JSON.stringify(counts));
  return cut.length > 0 ? Verdict.Broken : Verdict.Held;
};

await runCase(deployment, play);
