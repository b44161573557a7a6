import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { createRandom } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { VmRole, VmState, type Vm } from '@jujubelanding/types';
import { expectFault, expectValue } from './fixtures/results.js';
import {
  BackendServerGroup,
  PlainService,
  Reachability,
  VmListService,
  WeightStoreService,
} from './index.js';

const VM: Vm = {
  id: 'w1',
  role: VmRole.BackendServer,
  state: VmState.Live,
  availabilityZone: 'zone-a',
  address: '127.0.0.1:1',
};

const setUp = () => {
  const timer = new VirtualTimer();
  const random = createRandom(1);
  const run = async <T>(call: Promise<T>, durationMs = 10): Promise<T> => {
    await timer.advance(durationMs);
    return call;
  };
  return { timer, random, run };
};

test('a change of the VM list is visible after the lag, with a new tag', async (t) => {
  const { timer, random, run } = setUp();
  const list = new VmListService({ timer, random, lagMs: 500 });
  const client = list.createClient('vm-1');
  list.set(VM);
  const before = expectValue(await run(client.read()));
  t.deepEqual(before.vms, []);
  t.deepEqual(expectValue(await run(client.read(before.tag))), { tag: before.tag });
  await timer.advance(500);
  const after = expectValue(await run(client.read(before.tag)));
  t.deepEqual(after.vms, [VM]);
  list.remove('w1');
  await timer.advance(500);
  t.deepEqual(expectValue(await run(client.read(after.tag))).vms, []);
});

test('transfers share the rate limit; a transfer behind a long queue is refused', async (t) => {
  const { timer, random, run } = setUp();
  const store = new WeightStoreService({ timer, random, bytesPerSecond: 1000 });
  store.set({ name: 'small', bytes: 2000 });
  store.set({ name: 'large', bytes: 100_000 });
  const transfers = [store.transfer('small'), store.transfer('small')];
  const arrivals: number[] = [];
  transfers.forEach((transfer) => {
    void transfer.then(() => arrivals.push(timer.now()));
  });
  await timer.advance(5000);
  t.deepEqual(arrivals, [2000, 4000]);
  const large = store.transfer('large');
  const refused = expectFault(await store.transfer('small'));
  t.deepEqual([refused.code, refused.retryAfterMs], [FaultCode.RateLimited, 100_000]);
  t.true((await run(large, 100_000)).isOk());
  const client = store.createClient('vm-1');
  t.is(expectValue(await run(client.readRateLimit())).bytesPerSecond, 1000);
  t.is(expectFault(await run(client.describe('none'))).code, FaultCode.NotFound);
});

test('a plain service counts executions, also those whose reply is lost', async (t) => {
  const { timer, random, run } = setUp();
  const group = new BackendServerGroup({ timer, random });
  const service = new PlainService({ timer, random, workerId: 'p1' });
  group.addPlainService('p1', service);
  const client = group.createClient('vm-1');
  const call = (requestId: string, signal = new AbortController().signal) => {
    const request = { requestId, method: 'POST', path: '/', headers: {}, body: Buffer.from('x') };
    return run(client.call({ id: 'p1', address: 'p1:80' }, request, signal), 70_000);
  };
  t.is(expectValue(await call('r1')).requestId, 'r1');
  service.faults.lostReplyChance = 1;
  t.is(expectFault(await call('r2')).outcome, Outcome.OutcomeUnknown);
  service.faults.lostReplyChance = 0;
  service.responseFaults.refusalChance = 1;
  t.is(expectFault(await call('r3')).outcome, Outcome.NotRun);
  service.responseFaults.refusalChance = 0;
  t.is(expectFault(await call('r4', AbortSignal.abort())).outcome, Outcome.NotRun);
  client.getFaultsTo('p1').reachability = Reachability.Cut;
  t.is(expectFault(await call('r5')).outcome, Outcome.OutcomeUnknown);
  t.deepEqual(
    [...service.executions],
    [
      ['r1', 1],
      ['r2', 1],
    ],
  );
});
