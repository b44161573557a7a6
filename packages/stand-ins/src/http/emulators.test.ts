import test, { type ExecutionContext } from 'ava';
import { createRandom } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { VmRole, VmState } from '@jujubelanding/types';
import { request } from 'undici';
import { createEmulator, type EmulatorFlags } from './emulators.js';
import { listen } from './server.js';

const FLAGS: EmulatorFlags = {
  port: 0,
  seed: 1,
  workerId: 'w1',
  lagMs: 0,
  bytesPerSecond: 1000,
  settings: '{}',
  latencyMs: 0,
};

const startEmulator = async (t: ExecutionContext, name: string) => {
  const timer = new VirtualTimer();
  const app = createEmulator(name, FLAGS, timer, createRandom(1));
  if (app.isErr()) throw new Error(app.error);
  const listener = await listen(app.value, 0);
  t.teardown(() => listener.close());
  const send = async (method: 'GET' | 'PUT' | 'POST', path: string, body?: unknown) => {
    const url = `http://${listener.address}${path}`;
    const text = body === undefined ? undefined : JSON.stringify(body);
    const response = await request(url, { method, body: text });
    return { status: response.statusCode, json: await response.body.json() };
  };
  return { timer, send };
};

test('faults can be changed at run time; counters show the calls that took effect', async (t) => {
  const { send } = await startEmulator(t, 'key-value');
  const write = { key: 'a', value: '1', expectedRevision: 0 };
  await send('PUT', '/faults', { lostReplyChance: 1 });
  await t.throwsAsync(send('PUT', '/v1/key', write));
  await send('PUT', '/faults', { lostReplyChance: 0, reachability: 'refusing' });
  await t.throwsAsync(send('GET', '/v1/key?key=a'));
  await send('PUT', '/faults', { reachability: 'up' });
  t.like(await send('GET', '/v1/key?key=a'), { status: 200, json: { entry: { value: '1' } } });
  t.like(await send('GET', '/counters'), { json: { write: 1, get: 1, writes: 1, reads: 1 } });
});

test('an unknown fault, or a probability above 1, is rejected and changes nothing', async (t) => {
  const { send } = await startEmulator(t, 'key-value');
  const before = await send('GET', '/faults');
  t.is((await send('PUT', '/faults', { lostReply: 1 })).status, 400);
  t.is((await send('PUT', '/faults', { lostReplyChance: 2 })).status, 400);
  t.deepEqual(await send('GET', '/faults'), before);
});

test('PUT sets an entry of the VM list, and an entry with an unknown state is rejected', async (t) => {
  const { send } = await startEmulator(t, 'vm-list');
  const vm = {
    role: VmRole.EntryVm,
    state: VmState.Leaving,
    availabilityZone: 'zone-a',
    address: '127.0.0.1:1',
  };
  t.is((await send('PUT', '/v1/vms/e1', vm)).status, 200);
  t.is((await send('PUT', '/v1/vms/e2', { ...vm, state: 'gone' })).status, 400);
  t.deepEqual((await send('GET', '/v1/vms')).json, { vms: [{ id: 'e1', ...vm }] });
});

test('a weight is described, and its transfer takes the time that the rate limit requires', async (t) => {
  const { send, timer } = await startEmulator(t, 'weight-store');
  await send('PUT', '/v1/weights/base', { bytes: 3000 });
  t.deepEqual((await send('GET', '/v1/weights/base')).json, { name: 'base', bytes: 3000 });
  let done = false;
  const transfer = send('POST', '/v1/weights/base/transfers').finally(() => {
    done = true;
  });
  while (!done) await timer.advance(10);
  t.is((await transfer).status, 200);
  t.true(timer.now() >= 3000);
});

test('a crashed engine resets connections until it runs again', async (t) => {
  const { send } = await startEmulator(t, 'model-engine');
  await send('PUT', '/faults', { operation: 'crashed' });
  await t.throwsAsync(send('GET', '/v1/load'));
  await send('PUT', '/faults', { operation: 'running' });
  t.like(await send('GET', '/v1/load'), { status: 200, json: { workerId: 'w1' } });
});

test('an unknown engine setting is rejected by name', (t) => {
  const flags = { ...FLAGS, settings: '{"slot":1}' };
  const app = createEmulator('model-engine', flags, new VirtualTimer(), createRandom(1));
  t.regex(app.isErr() ? app.error : '', /slot/);
});
