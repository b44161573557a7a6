import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { ChangeKind, MAX_VALUE_BYTES, WriteStatus } from '@jujubelanding/platform';
import { createRandom } from '@jujubelanding/random';
import { VirtualTimer } from '@jujubelanding/timer';
import { expectFault, expectValue } from './fixtures/results.js';
import { KeyValueService, Reachability } from './index.js';

const setUp = (historyLimit?: number) => {
  const timer = new VirtualTimer();
  const keyValue = new KeyValueService({ timer, random: createRandom(1), historyLimit });
  const run = async <T>(call: Promise<T>, durationMs = 10): Promise<T> => {
    await timer.advance(durationMs);
    return call;
  };
  return { timer, keyValue, run, store: keyValue.createClient('vm-1') };
};

const write = (key: string, value: string, expectedRevision = 0) => ({
  key,
  value,
  expectedRevision,
});

test('a write with an outdated expected revision changes nothing', async (t) => {
  const { store, run } = setUp();
  t.is(expectValue(await run(store.write(write('a', '1')))).status, WriteStatus.Written);
  t.is(expectValue(await run(store.write(write('a', '2')))).status, WriteStatus.Conflict);
  t.is(expectValue(await run(store.get('a')))?.value, '1');
});

test('the end of a lease deletes its keys, unless it was renewed or the key rewritten', async (t) => {
  const { store, run } = setUp();
  const { leaseId } = expectValue(await run(store.grantLease(1000)));
  await run(store.write({ ...write('a', '1'), leaseId }));
  const second = expectValue(await run(store.write({ ...write('b', '1'), leaseId })));
  t.is(second.status, WriteStatus.Written);
  await run(store.write(write('b', '2', 2)), 900);
  t.true((await run(store.renewLease(leaseId))).isOk());
  await run(Promise.resolve(), 900);
  t.truthy(expectValue(await run(store.get('a'))));
  await run(Promise.resolve(), 200);
  t.is(expectValue(await run(store.get('a'))), undefined);
  t.is(expectValue(await run(store.get('b')))?.value, '2');
  t.is(expectFault(await run(store.renewLease(leaseId))).code, FaultCode.NotFound);
});

test('a watch returns changes after the revision at once, or waits for the next one', async (t) => {
  const { store, run } = setUp();
  await run(store.write(write('p/a', '1')));
  await run(store.write(write('q/a', '1')));
  const past = expectValue(await run(store.watch('p/', 0, 1000)));
  t.deepEqual(
    past.changes.map(({ entry }) => entry.key),
    ['p/a'],
  );
  const waiting = store.watch('p/', past.revision, 1000);
  await run(store.remove('p/a', 1));
  const next = expectValue(await run(waiting));
  t.deepEqual(
    next.changes.map(({ kind }) => kind),
    [ChangeKind.Delete],
  );
  const idle = expectValue(await run(store.watch('p/', next.revision, 1000), 1100));
  t.deepEqual(idle, { changes: [], revision: 3, compacted: false });
});

test('a watch from before the kept history is reported as compacted', async (t) => {
  const { store, run } = setUp(4);
  for (let index = 0; index < 8; index += 1) await run(store.write(write(`k${index}`, '')));
  t.true(expectValue(await run(store.watch('k', 1, 0))).compacted);
  const recent = expectValue(await run(store.watch('k', 6, 0)));
  t.deepEqual(
    recent.changes.map(({ entry }) => entry.key),
    ['k6', 'k7'],
  );
});

test('a value above the limit is refused as not-run', async (t) => {
  const { store, run } = setUp();
  t.true((await run(store.write(write('a', 'x'.repeat(MAX_VALUE_BYTES))))).isOk());
  const fault = expectFault(await run(store.write(write('b', 'x'.repeat(MAX_VALUE_BYTES + 1)))));
  t.deepEqual([fault.code, fault.outcome], [FaultCode.TooLarge, Outcome.NotRun]);
});

test('a lost reply leaves the outcome unknown although the write took effect', async (t) => {
  const { keyValue, store, run } = setUp();
  keyValue.faults.lostReplyChance = 1;
  const fault = expectFault(await run(store.write(write('a', '1')), 5000));
  t.is(fault.outcome, Outcome.OutcomeUnknown);
  keyValue.faults.lostReplyChance = 0;
  t.is(expectValue(await run(store.get('a')))?.value, '1');
});

test('a lost request leaves the outcome unknown and has no effect', async (t) => {
  const { keyValue, store, run } = setUp();
  keyValue.faults.lostRequestChance = 1;
  const fault = expectFault(await run(store.write(write('a', '1')), 5000));
  t.is(fault.outcome, Outcome.OutcomeUnknown);
  keyValue.faults.lostRequestChance = 0;
  t.is(expectValue(await run(store.get('a'))), undefined);
});

test('faults of one client do not affect another; a service that refuses connections refuses all clients', async (t) => {
  const { keyValue, store, run } = setUp();
  const other = keyValue.createClient('vm-2');
  store.faults.reachability = Reachability.Cut;
  const cut = expectFault(await run(store.get('a'), 5000));
  t.deepEqual([cut.code, cut.outcome], [FaultCode.Timeout, Outcome.OutcomeUnknown]);
  t.true((await run(other.get('a'))).isOk());
  keyValue.faults.reachability = Reachability.Refusing;
  t.is(expectFault(await run(other.get('a'))).outcome, Outcome.NotRun);
});

test('a reply slower than the timeout is a timeout fault; counters separate reads from writes', async (t) => {
  const { keyValue, store, run } = setUp();
  await run(store.write(write('a', '1')));
  await run(store.watch('a', 1, 100), 200);
  keyValue.faults.latency = { floorMs: 3000, meanExtraMs: 50 };
  t.is(expectFault(await run(store.get('a'), 10_000)).code, FaultCode.Timeout);
  t.like(keyValue.readCounters(), { write: 1, watch: 1, get: 1, writes: 1, reads: 2 });
});
