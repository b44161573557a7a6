import test from 'ava';
import { MemoryMetrics } from '@jujubelanding/metrics';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService, Reachability } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { expectFault, expectValue } from './fixtures/results.js';
import { awaitCall } from './fixtures/servers.js';
import { CALL_METRIC, instrumentKeyValueStore } from './index.js';

const setUp = () => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const metrics = new MemoryMetrics();
  const store = instrumentKeyValueStore(service.createClient('vm'), timer, metrics);
  const listTags = () =>
    metrics.getSamples(CALL_METRIC).map(({ tags }) => Object.values(tags).join(' '));
  return { timer, service, metrics, store, listTags };
};

test('each call is recorded once with its purpose; keys do not become tags', async (t) => {
  const { timer, store, listTags } = setUp();
  const run = <T>(call: Promise<T>): Promise<T> => awaitCall(timer, call);
  const lease = expectValue(await run(store.grantLease(5000)));
  await run(store.renewLease(lease.leaseId));
  await run(store.write({ key: 'claims/3/7', value: 'a', expectedRevision: 0 }));
  await run(store.write({ key: 'claims/3/7', value: 'b', expectedRevision: 0 }));
  await run(store.get('claims/3/7'));
  await run(store.list('jobs/12/'));
  await run(store.watch('records/', 0, 10));
  await run(store.remove('claims/3/7', 99));
  await run(store.revokeLease(lease.leaseId));
  t.deepEqual(listTags(), [
    'grantLease leases succeeded',
    'renewLease leases succeeded',
    'write claims succeeded',
    'write claims conflict',
    'get claims succeeded',
    'list jobs succeeded',
    'watch records succeeded',
    'remove claims conflict',
    'revokeLease leases succeeded',
  ]);
});

test('a call without a response is recorded with the outcome of its fault and its full duration', async (t) => {
  const { timer, service, metrics, store } = setUp();
  service.faults.reachability = Reachability.Cut;
  const fault = expectFault(await awaitCall(timer, store.get('jobs/1')));
  const [sample] = metrics.getSamples(CALL_METRIC);
  t.is(sample!.tags.outcome, fault.outcome);
  t.true(sample!.value >= 100);
  t.is(sample!.value, timer.now());
});

test('a watch that returns a change is recorded with the duration of its wait', async (t) => {
  const { timer, service, metrics, store } = setUp();
  const watch = store.watch('jobs/', 0, 60_000);
  await timer.advance(300);
  service.state.write({ key: 'jobs/1/a', value: '1', expectedRevision: 0 });
  await awaitCall(timer, watch);
  const [sample] = metrics.getSamples(CALL_METRIC);
  t.true(sample!.value >= 300 && sample!.value < 400);
});
