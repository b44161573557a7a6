import test from 'ava';
import { DatagramKind } from '@jujubelanding/peer-protocol';
import { computeShard } from '@jujubelanding/random';
import { MemberState, WorkerRole, type LoadReport } from '@jujubelanding/types';
import { VmGroup } from './fixtures/vm-group.js';
import { UNKNOWN_AGE_MS } from './index.js';

const createReport = (workerId: string, change: Partial<LoadReport> = {}): LoadReport => ({
  workerId,
  ageMs: 0,
  slots: 16,
  running: 0,
  waiting: 0,
  models: [],
  adapters: [],
  role: WorkerRole.Mixed,
  streams: [],
  cacheEvents: [],
  ...change,
});

const TOTALS = DatagramKind.WorkerTotals;

const setUp = (vmIds = ['vm1', 'vm2', 'vm3']) => {
  const group = new VmGroup(vmIds, ['w1', 'w2', 'w9']);
  ['w1', 'w2', 'w9'].forEach((id) => group.setOwner(id, 'vm1'));
  const get = (id: string) => group.vms.get(id)!;
  return { group, owner: get('vm1'), second: get('vm2'), third: get('vm3') };
};

test('a begin reaches the owner at once and its totals reach the sender', async (t) => {
  const { group, owner, second } = setUp();
  const changed: string[] = [];
  owner.ownedWorkers.onOnlineChange((workerId) => changed.push(workerId));
  second.loads.beginRequest('w1');
  await group.timer.advance(2);
  t.deepEqual(changed, ['w1']);
  t.is(owner.ownedWorkers.online('w1'), 1);
  t.like(second.loads.get('w1'), { online: 1, ageMs: 0, slots: 8 });
});

test('a VM that owns the worker counts without datagrams', async (t) => {
  const { group, owner } = setUp();
  owner.loads.beginRequest('w1');
  t.is(owner.ownedWorkers.online('w1'), 1);
  await group.timer.advance(2000);
  t.deepEqual(group.sent, []);
});

test('a total sent before a begin of the receiver is corrected by it', async (t) => {
  const { group, second, third } = setUp();
  third.loads.beginRequest('w1');
  second.loads.beginRequest('w1');
  await group.timer.advance(1);
  // Arrives at the owner after it has replied to the first one.
  second.loads.beginRequest('w1');
  await group.timer.advance(1);
  t.is(second.loads.get('w1').online, 3);
  await group.timer.advance(2);
  t.is(second.loads.get('w1').online, 3);
  second.loads.endRequest('w1');
  t.is(second.loads.get('w1').online, 2);
});

test('the next full notice corrects lost begin and end notices', async (t) => {
  const { group, owner, second } = setUp();
  group.isLost = () => true;
  second.loads.beginRequest('w1');
  second.loads.beginRequest('w2');
  second.loads.endRequest('w2');
  group.isLost = () => false;
  await group.timer.advance(501);
  t.is(owner.ownedWorkers.online('w1'), 1);
  group.isLost = () => true;
  second.loads.endRequest('w1');
  group.isLost = () => false;
  await group.timer.advance(500);
  t.is(owner.ownedWorkers.online('w1'), 0);
});

test('a lost begin notice is repeated long before the next full notice', async (t) => {
  const { group, owner, second } = setUp();
  await group.timer.advance(10);
  group.isLost = () => true;
  second.loads.beginRequest('w1');
  second.loads.beginRequest('w1');
  group.isLost = () => false;
  await group.timer.advance(30);
  t.is(owner.ownedWorkers.online('w1'), 2);
});

test('without totals, counts of this VM and the configured slots are used', async (t) => {
  const { group, second } = setUp();
  group.isLost = () => true;
  second.loads.beginRequest('w1');
  await group.timer.advance(5000);
  t.deepEqual(second.loads.get('w1'), {
    workerId: 'w1',
    slots: 8,
    online: 1,
    batch: 0,
    ageMs: UNKNOWN_AGE_MS,
  });
});

test('totals of a former owner are ignored', async (t) => {
  const { group, second, third } = setUp();
  third.loads.beginRequest('w1');
  second.loads.beginRequest('w1');
  await group.timer.advance(1);
  group.setOwner('w1', 'vm3');
  await group.timer.advance(1);
  t.not(second.loads.get('w1').ageMs, 1);
  await group.timer.advance(10);
  t.is(second.loads.get('w1').online, 2);
});

test('a new owner gets requests in progress at once and detects that its counts are complete', async (t) => {
  const { group, owner, second, third } = setUp();
  second.loads.beginRequest('w1');
  await group.timer.advance(100);
  group.setOwner('w1', 'vm3');
  t.false(third.ownedWorkers.isComplete('w1'));
  t.false(owner.ownedWorkers.isComplete('w1'));
  await group.timer.advance(2);
  t.is(third.ownedWorkers.online('w1'), 1);
  await group.timer.advance(600);
  t.true(third.ownedWorkers.isComplete('w1'));
});

test('requests of a dead VM no longer count', async (t) => {
  const { group, owner, second } = setUp();
  second.loads.beginRequest('w1');
  await group.timer.advance(10);
  group.isLost = () => true;
  second.member.state = MemberState.Dead;
  await group.timer.advance(500);
  t.is(owner.ownedWorkers.online('w1'), 0);
});

test('only owners of workers in use are contacted, and only senders get totals', async (t) => {
  const workerIds = Array.from({ length: 40 }, (_, index) => `w${index}`);
  const vmIds = Array.from({ length: 20 }, (_, index) => `vm${index}`);
  const group = new VmGroup(vmIds, workerIds);
  workerIds.forEach((id) => group.setOwner(id, `vm${computeShard(id) % 20}`));
  const owner = `vm${computeShard('w3') % 20}`;
  const sender = owner === 'vm0' ? 'vm1' : 'vm0';
  group.vms.get(sender)!.loads.beginRequest('w3');
  await group.timer.advance(10_000);
  const pairs = new Set(group.sent.map(({ from, to }) => `${from}>${to}`));
  t.deepEqual(pairs, new Set([`${sender}>${owner}`, `${owner}>${sender}`]));
  group.vms.get(sender)!.loads.endRequest('w3');
  await group.timer.advance(7000);
  group.sent.length = 0;
  await group.timer.advance(5000);
  t.deepEqual(group.sent, []);
});

test('totals carry batch items and reported slots of other workers of the same service', async (t) => {
  const { group, owner, second } = setUp();
  group.reports.set('w2', createReport('w2', { slots: 12 }));
  owner.ownedWorkers.setBatchCount('w2', 5);
  second.loads.beginRequest('w1');
  await group.timer.advance(1100);
  t.like(second.loads.get('w2'), { slots: 12, batch: 5, online: 0 });
  const last = group.sent.findLast(({ datagram }) => datagram.kind === DatagramKind.WorkerTotals);
  t.is(last?.to, 'vm2');
});

test('totals are sent for all workers in use, and for a limited number of others', async (t) => {
  const workerIds = Array.from({ length: 40 }, (_, index) => `w${index}`);
  const group = new VmGroup(['vm1', 'vm2'], workerIds);
  workerIds.forEach((id) => group.setOwner(id, 'vm1'));
  const [first, second] = ['vm1', 'vm2'].map((id) => group.vms.get(id)!.loads);
  workerIds.forEach((id) => first!.beginRequest(id));
  workerIds.slice(0, 20).forEach((id) => second!.beginRequest(id));
  await group.timer.advance(600);
  const workersWithTotals = workerIds.filter((id) => second!.get(id).ageMs !== UNKNOWN_AGE_MS);
  t.is(workersWithTotals.length, 24);
  t.true(workerIds.slice(0, 20).every((id) => second!.get(id).online === 2));
});

test('above the notice rate limit, ends wait for the next notice to the owner', async (t) => {
  const { group, owner, second } = setUp();
  for (let index = 0; index < 60; index += 1) second.loads.beginRequest('w1');
  for (let index = 0; index < 60; index += 1) second.loads.endRequest('w1');
  await group.timer.advance(2);
  t.is(owner.ownedWorkers.online('w1'), 60);
  t.is(second.loads.get('w1').online, 0);
  second.loads.beginRequest('w2');
  await group.timer.advance(2);
  t.is(owner.ownedWorkers.online('w1'), 0);
  t.is(owner.ownedWorkers.online('w2'), 1);
});

test('totals are sent again when the load of others changes, or before they expire', async (t) => {
  const { group, second, third } = setUp();
  const countTotals = () =>
    group.sent.filter(({ to, datagram }) => to === 'vm2' && datagram.kind === TOTALS).length;
  second.loads.beginRequest('w1');
  await group.timer.advance(510);
  const before = countTotals();
  await group.timer.advance(6000);
  t.true(countTotals() - before <= 5);
  t.true(second.loads.get('w1').ageMs < 2000);
  third.loads.beginRequest('w1');
  await group.timer.advance(502);
  t.is(second.loads.get('w1').online, 2);
});

// Guards against bursts in which each entry VM sees only its own requests until the next interval.
test('entry VMs are notified at once when others fill a worker, also after idle seconds', async (t) => {
  const { group, second, third } = setUp();
  second.loads.beginRequest('w1');
  await group.timer.advance(510);
  second.loads.endRequest('w1');
  await group.timer.advance(10_000);
  for (let index = 0; index < 5; index += 1) third.loads.beginRequest('w1');
  await group.timer.advance(2);
  t.is(second.loads.get('w1').online, 5);
});

// Guards against an urgent total per request to each entry VM when the fleet is overloaded.
test('entry VMs that know that a worker is full get no urgent totals', async (t) => {
  const { group, second, third } = setUp();
  second.loads.beginRequest('w1');
  for (let index = 0; index < 30; index += 1) third.loads.beginRequest('w1');
  await group.timer.advance(510);
  group.sent.length = 0;
  for (let index = 0; index < 10; index += 1) third.loads.beginRequest('w1');
  await group.timer.advance(4);
  t.false(group.sent.some(({ to }) => to === 'vm2'));
});

test('a small increase of load waits for the next interval', async (t) => {
  const { group, second, third } = setUp();
  second.loads.beginRequest('w1');
  await group.timer.advance(510);
  group.sent.length = 0;
  third.loads.beginRequest('w1');
  await group.timer.advance(2);
  t.false(group.sent.some(({ to }) => to === 'vm2'));
});

test('cache events are requested from the start after a failed poll', async (t) => {
  const group = new VmGroup(['vm1'], ['w1']);
  const cacheEvents = [{ sequence: 9, kind: 'stored' as never, prefixHash: 'a' }];
  group.reports.set('w1', createReport('w1', { cacheEvents }));
  group.setOwner('w1', 'vm1');
  await group.timer.advance(600);
  group.reports.delete('w1');
  await group.timer.advance(1000);
  t.deepEqual(group.polledAfter, [0, 9, 9, 0]);
});
