import test, { type ExecutionContext } from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { MAX_VALUE_BYTES, WriteStatus } from '@jujubelanding/platform';
import { Reachability } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { SHARD_COUNT } from '@jujubelanding/types';
import { expectFault, expectValue } from './fixtures/results.js';
import { awaitCall, awaitCondition, serveKeyValue } from './fixtures/servers.js';
import { createKeyValueClient } from './index.js';

const setUp = async (t: ExecutionContext) => {
  const server = await serveKeyValue(t);
  const clientTimer = new VirtualTimer();
  const store = createKeyValueClient({ address: server.address, timer: clientTimer });
  t.teardown(() => store.close());
  return { ...server, clientTimer, store };
};

const write = (key: string, value: string, expectedRevision = 0) => ({
  key,
  value,
  expectedRevision,
});

test('values, lists, conflicts and leases match the state of the service', async (t) => {
  const { store, service } = await setUp(t);
  const key = 'records/service/a b&c?';
  const { leaseId } = expectValue(await store.grantLease(5000));
  t.is(expectValue(await store.write({ ...write(key, 'ü'), leaseId })).status, WriteStatus.Written);
  t.deepEqual(expectValue(await store.get(key)), service.state.get(key));
  t.is(expectValue(await store.write(write(key, '2'))).status, WriteStatus.Conflict);
  t.deepEqual(
    expectValue(await store.list('records/', 10, 'records/a')),
    service.state.list('rec'),
  );
  t.true((await store.renewLease(leaseId)).isOk());
  t.true((await store.revokeLease(leaseId)).isOk());
  t.is(expectValue(await store.get(key)), undefined);
  const ended = expectFault(await store.renewLease(leaseId));
  t.deepEqual([ended.code, ended.outcome], [FaultCode.NotFound, Outcome.NotRun]);
  t.is(expectValue(await store.remove(key, 9)).status, WriteStatus.Conflict);
});

test('a watch returns when a change occurs, or without changes when its wait time is over', async (t) => {
  const { store, timer, service } = await setUp(t);
  const watch = store.watch('a', 0, 60_000);
  await awaitCondition(timer, () => service.counters.get('watch') === 1);
  service.state.write(write('a', '1'));
  t.is(expectValue(await watch).changes.length, 1);
  const idle = expectValue(await awaitCall(timer, store.watch('a', 1, 100)));
  t.deepEqual(idle, { changes: [], revision: 1, compacted: false });
});

test('a VM that owns all shards still receives record changes', async (t) => {
  const { store, timer, service } = await setUp(t);
  const shards = Array.from({ length: SHARD_COUNT }, (_, shard) =>
    store.watch(`jobs/${shard}/`, 0, 60_000),
  );
  const records = store.watch('records/', 0, 60_000);
  await awaitCondition(timer, () => service.counters.get('watch') === SHARD_COUNT + 1);
  service.state.write(write('records/team/a', '1'));
  t.is(expectValue(await records).changes.length, 1);
  await store.close();
  await Promise.all(shards);
});

test('a lost reply leaves the outcome unknown, with step and peer', async (t) => {
  const { store, service } = await setUp(t);
  service.faults.lostReplyChance = 1;
  const fault = expectFault(await store.write(write('a', '1')));
  t.like(fault, { outcome: Outcome.OutcomeUnknown, step: 'write', peer: 'key-value' });
  t.is(service.state.get('a')?.value, '1');
});

test('a call that times out has an unknown outcome', async (t) => {
  const { store, service, clientTimer, timer } = await setUp(t);
  service.faults.reachability = Reachability.Cut;
  const call = store.write(write('a', '1'));
  await awaitCondition(timer, () => service.counters.get('held') === 1);
  await clientTimer.advance(3000);
  t.is(expectFault(await call).code, FaultCode.Timeout);
});

test('a refused connection is reported as not-run', async (t) => {
  const { store, listener } = await setUp(t);
  await listener.close();
  const fault = expectFault(await store.write(write('a', '1')));
  t.deepEqual([fault.code, fault.outcome], [FaultCode.Unavailable, Outcome.NotRun]);
});

test('a value above the limit is rejected as not-run', async (t) => {
  const { store } = await setUp(t);
  const large = await store.write(write('a', 'x'.repeat(MAX_VALUE_BYTES + 1)));
  t.like(expectFault(large), { code: FaultCode.TooLarge, outcome: Outcome.NotRun });
});
