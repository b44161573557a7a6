/** The same fault in an online stream; not part of the verdict of run.sh. */
import console from 'node:console';
import { request } from 'node:http';
import path from 'node:path';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { createConfiguration, SERVICE } from '../../lib-2/batch.mjs';
import { HOST } from '../../lib-2/client.mjs';
import { Deployment, runCase, Verdict } from '../../lib-2/deployment.mjs';
import { Store } from '../../lib-2/store.mjs';

const EVENTS = 31;
/** Events that the client has already. */
const RECEIVED = 6;

const WORKERS = 6;
const CRASH_MS = 150;
const ANSWER = { events: EVENTS, firstEventMs: 200, gapMs: 60, isFramed: false };

const store = new Store();
const folder = path.dirname(fileURLToPath(import.meta.url));
const deployment = new Deployment(store, folder);

const workers = new Map();

/** Ends the worker that gets the request, before its first event. */
const createListener = () => {
  let hasCrashed = false;
  return ({ kind, ...fields }) => {
    if (kind !== 'run') return;
    deployment.record(kind, fields);
    if (!hasCrashed) setTimeout(() => workers.get(fields.worker).kill('SIGKILL'), CRASH_MS);
    hasCrashed = true;
  };
};

const readStream = (vm) =>
  new Promise((resolve) => {
    const [host, port] = vm.address.split(':');
    const headers = {
      Host: HOST,
      'Jujubelanding-Attempt-Id': '9c41d07be2a35f68',
      'Jujubelanding-Deadline-Ms': '5000',
      // The client goes on after a broken connection.
      'Last-Event-Id': String(RECEIVED),
    };
    const stream = request({ host, port, method: 'POST', path: '/pule252/2f', headers });
    stream.on('error', ({ code }) => resolve({ error: code }));
    stream.on('response', (response) => {
      let text = '';
      response.on('data', (chunk) => {
        text += chunk;
      });
      response.on('error', () => {});
      response.on('close', () => {
        const events = (text.match(/^id:/gm) ?? []).length;
        resolve({ status: response.statusCode, isComplete: response.complete, events });
      });
    });
    stream.end('question');
  });

const play = async (isTroubled) => {
  const listener = isTroubled ? createListener() : () => {};
  for (let index = 1; index <= WORKERS; index += 1) {
    const id = `i-${index}`;
    const options = { ...ANSWER, id, service: SERVICE, slots: 8, zone: 'a' };
    workers.set(id, await deployment.addWorkerProcess(options, listener));
  }
  await deployment.addVm('front-a-1', 'a');
  const route = {
    name: 'fit',
    kind: 'streaming',
    resumable: true,
    maxAttempts: 3,
    timeoutMs: 5000,
  };
  store.put('op/config', createConfiguration(3, { ...route, gapTargetMs: 400 }));
  await deployment.start();
  const answer = await readStream(deployment.vms[0]);
  console.log(JSON.stringify(answer), `of ${EVENTS - RECEIVED} events`);
  return answer.isComplete && answer.events < EVENTS - RECEIVED ? Verdict.Broken : Verdict.Held;
};

await runCase(deployment, play);
