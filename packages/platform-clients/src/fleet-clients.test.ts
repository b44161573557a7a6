import test, { type ExecutionContext } from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { createRandom } from '@jujubelanding/random';
import {
  createVmListApp,
  createWeightStoreApp,
  listen,
  VmListService,
  WeightStoreService,
} from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { VmRole, VmState, type Vm } from '@jujubelanding/types';
import { expectFault, expectValue } from './fixtures/results.js';
import { serveResponse } from './fixtures/servers.js';
import { createVmListClient, createWeightStoreClient } from './index.js';

const VM: Vm = {
  id: 'w1',
  role: VmRole.BackendServer,
  state: VmState.Leaving,
  availabilityZone: 'zone-a',
  address: '127.0.0.1:1',
  service: 'advisor',
};

test('reading an unchanged VM list returns only its tag', async (t) => {
  const [timer, random] = [new VirtualTimer(), createRandom(1)];
  const service = new VmListService({ timer, random });
  const listener = await listen(createVmListApp(service, timer, random), 0);
  t.teardown(() => listener.close());
  const client = createVmListClient({ address: listener.address, timer });
  t.teardown(() => client.close());
  const before = expectValue(await client.read());
  t.deepEqual(expectValue(await client.read(before.tag)), { tag: before.tag });
  service.set(VM);
  const after = expectValue(await client.read(before.tag));
  t.deepEqual(after.vms, [VM]);
  t.not(after.tag, before.tag);
});

const readVmList = async (t: ExecutionContext, body: string) => {
  const { address } = await serveResponse(t, 200, { etag: 'a' }, body);
  const client = createVmListClient({ address, timer: new VirtualTimer() });
  t.teardown(() => client.close());
  return client.read();
};

// One invalid entry made the whole list invalid, so that changes of all other VMs were not followed.
test('an invalid entry of the VM list is skipped, and the others hold', async (t) => {
  const text = JSON.stringify(VM);
  const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
  const odd = [
    JSON.stringify({ ...VM, state: 'gone' }),
    JSON.stringify({ ...VM, address: 1 }),
    text.replace('"advisor"', '1e400'),
    text.replace('"advisor"', nested),
    nested,
    'null',
  ];
  const list = expectValue(await readVmList(t, `{"vms":[${[...odd, text].join(',')}]}`));
  t.deepEqual(list, { tag: 'a', vms: [VM], skipped: odd.length });
});

test('a VM list of another format is rejected as a whole', async (t) => {
  const lists = [{ vms: [{ ...VM, state: 'gone' }] }, { vms: { w1: VM } }, [VM], {}];
  for (const list of lists) {
    const fault = expectFault(await readVmList(t, JSON.stringify(list)));
    t.like(fault, { code: FaultCode.Upstream, step: 'readVmList' });
  }
});

test('weights and the rate limit are read; an unknown weight is NotFound', async (t) => {
  const [timer, random] = [new VirtualTimer(), createRandom(1)];
  const service = new WeightStoreService({ timer, random, bytesPerSecond: 5000 });
  service.set({ name: 'base/v1', bytes: 70 });
  const listener = await listen(createWeightStoreApp(service, timer, random), 0);
  t.teardown(() => listener.close());
  const client = createWeightStoreClient({ address: listener.address, timer });
  t.teardown(() => client.close());
  t.deepEqual(expectValue(await client.describe('base/v1')), { name: 'base/v1', bytes: 70 });
  t.deepEqual(expectValue(await client.readRateLimit()), { bytesPerSecond: 5000 });
  const unknown = expectFault(await client.describe('other'));
  t.deepEqual([unknown.code, unknown.outcome], [FaultCode.NotFound, Outcome.NotRun]);
});
