// Guards against a request that crashes each worker that begins to run it: its parts proved nothing, as they
// came in one request only, and it was sent on whenever its caller sent it again.
import test from 'ava';
import fc from 'fast-check';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { ChangeKind } from '@jujubelanding/platform';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService, Reachability } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { TaintedFleet, type TaintedLoad } from './fixtures/index.js';
import {
  computeRequestKey,
  PromptQuarantine,
  type RepeatableRequest,
  type RequestLoss,
} from './index.js';

/** Time from the third crash after which the request is counted, and its maximum number of sends then. */
const CONTACT_MS = 3000;
const MAX_LATE_SENDS = 3;

const MAX_REFUSED_SHARE = 0.01;

const DEADLY = 'request-deadly';

/** Leases of VMs are kept alive. */
const VM_LEASE_MS = 86_400_000;

const loadArbitrary: fc.Arbitrary<TaintedLoad> = fc.record({
  seed: fc.nat(),
  vmCount: fc.integer({ min: 2, max: 12 }),
  taintedShare: fc.double({ min: 0.01, max: 0.6, noNaN: true }),
  companions: fc.constant(1),
  isSingleRequest: fc.constant(true),
});

const countLateSends = async (load: TaintedLoad, outageEndsAt = 0): Promise<number> => {
  const fleet = new TaintedFleet(load, 'none');
  await fleet.run(40_000);
  const third = fleet.crashes[2] ?? Infinity;
  // VMs count as in touch again that long after an outage of the store.
  const from = Math.max(third, outageEndsAt) + CONTACT_MS;
  return fleet.taintedSends.filter((at) => at > from).length;
};

test('a request that crashed three workers reaches few workers later than the contact time', async (t) => {
  await fc.assert(
    fc.asyncProperty(loadArbitrary, async (load) => (await countLateSends(load)) <= MAX_LATE_SENDS),
    { numRuns: 60, seed: 25 },
  );
  t.pass();
});

test('it reaches few workers after an outage of the store in which it crashed them', async (t) => {
  const outage = { from: 3000, durationMs: 8000 };
  const outageEndsAt = outage.from + outage.durationMs;
  await fc.assert(
    fc.asyncProperty(loadArbitrary, async (load) => {
      const late = await countLateSends({ ...load, outages: [outage] }, outageEndsAt);
      return late <= MAX_LATE_SENDS;
    }),
    { numRuns: 40, seed: 25 },
  );
  t.pass();
});

test('requests beside it are still sent, also when their callers send them again', async (t) => {
  await fc.assert(
    fc.asyncProperty(loadArbitrary, async (load) => {
      const fleet = new TaintedFleet(load, 'none');
      await fleet.run(40_000);
      return fleet.refusedSound <= fleet.sound * MAX_REFUSED_SHARE;
    }),
    { numRuns: 60, seed: 25 },
  );
  t.pass();
});

test('requests that are sent again after crashes of other cause are not refused', async (t) => {
  const fleet = new TaintedFleet({ seed: 5, vmCount: 7, taintedShare: 0, companions: 20 }, 'none');
  for (let round = 0; round < 12; round += 1) {
    await fleet.run(2500);
    fleet.crashWorkers(round % 4);
  }
  t.true(fleet.crashes.length > 10);
  t.is(fleet.refusedSound, 0);
});

const createVm = (
  service: KeyValueService,
  timer: VirtualTimer,
  name: string,
  announce: (lost: RequestLoss[]) => void = () => {},
) => {
  const lease = { current: undefined as string | undefined, replace: () => {} };
  const store = service.createClient(name);
  void store.grantLease(VM_LEASE_MS).then((granted) => {
    lease.current = granted.map(({ leaseId }) => leaseId).unwrapOr(undefined);
  });
  const vm = new PromptQuarantine({
    timer,
    log: silentLog,
    metrics: silentMetrics,
    store,
    lease: () => lease,
    evidencePrefix: 'q/crash/',
    blockPrefix: 'q/blocked/',
    probePrefix: 'q/probe/',
    self: name,
    listServing: () => [],
    announce,
    runIdOf: (workerId) => workerId,
  });
  vm.start();
  return vm;
};

const setUp = (...names: string[]) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const vms = names.map((name) => createVm(service, timer, name));
  /** Makes all VMs read what is stored. */
  const exchange = async (): Promise<void> => {
    await timer.advance(150);
    const { entries } = service.state.list('q/', Infinity);
    const changes = entries.map((entry) => ({ kind: ChangeKind.Put, entry }));
    vms.forEach((vm) => vm.apply(changes));
  };
  return { timer, service, vms, exchange };
};

// A caller that sends its request again after a crash of other cause must be served.
test('one or two crashes prove nothing, the third one refuses the request at all VMs', async (t) => {
  const { timer, vms, exchange } = setUp('a', 'b');
  const [a, b] = vms as [PromptQuarantine, PromptQuarantine];
  a.recordLoss('w1', [], DEADLY);
  b.recordLoss('w2', [], DEADLY);
  await exchange();
  await timer.advance(5000);
  t.is(a.findBlock([], DEADLY), undefined);
  a.recordLoss('w3', [], DEADLY);
  t.snapshot(a.findBlock([], DEADLY));
  t.is(b.findBlock([], DEADLY), undefined);
  await exchange();
  t.true(b.findBlock([], DEADLY)!.retryAfterMs! <= 1000);
  await timer.advance(2000);
  t.snapshot([a, b].map((vm) => Math.round(vm.findBlock([], DEADLY)!.retryAfterMs! / 10_000)));
  t.is(a.findBlock([], 'request-other'), undefined);
  vms.forEach((vm) => vm.stop());
});

// Reports go through the store, which takes up to a second and more while it is down; the request was sent to
// further workers meanwhile.
test('the other VMs learn of a third crash at once, also while the store is down', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  service.faults.reachability = Reachability.Refusing;
  const b = createVm(service, timer, 'b');
  const a = createVm(service, timer, 'a', (lost) => b.applyLosses(lost));
  ['w1', 'w2'].forEach((worker) => a.recordLoss(worker, [], DEADLY));
  await timer.advance(50);
  t.is(b.findBlock([], DEADLY), undefined);
  a.recordLoss('w3', [], DEADLY);
  await timer.advance(50);
  t.not(b.findBlock([], DEADLY), undefined);
  [a, b].forEach((vm) => vm.stop());
});

test('losses at one run of a worker count as one crash', async (t) => {
  const { timer, vms } = setUp('a');
  const [a] = vms as [PromptQuarantine];
  for (let attempt = 0; attempt < 5; attempt += 1) a.recordLoss('w1', [], DEADLY);
  await timer.advance(2000);
  t.is(a.findBlock([], DEADLY), undefined);
  a.stop();
});

test('an answer at another VM clears the crashes before it', async (t) => {
  const { timer, vms, exchange } = setUp('a', 'b');
  const [a, b] = vms as [PromptQuarantine, PromptQuarantine];
  ['w1', 'w2', 'w3'].forEach((worker) => a.recordLoss(worker, [], DEADLY));
  await exchange();
  b.recordAnswer([], DEADLY);
  await exchange();
  await timer.advance(2000);
  t.is(a.findBlock([], DEADLY), undefined);
  t.is(b.findBlock([], DEADLY), undefined);
  vms.forEach((vm) => vm.stop());
});

// The VM with the answer did not report it, as one crash alone does not make a request suspected.
test('an answer between crashes counts at the other VMs too', async (t) => {
  const { timer, vms, exchange } = setUp('a', 'b');
  const [a, b] = vms as [PromptQuarantine, PromptQuarantine];
  b.recordLoss('w1', [], DEADLY);
  await exchange();
  a.recordAnswer([], DEADLY);
  for (let other = 0; other < 600; other += 1) a.recordAnswer([], `request-${other}`);
  for (const worker of ['w2', 'w3']) {
    await exchange();
    b.recordLoss(worker, [], DEADLY);
  }
  await exchange();
  t.deepEqual(
    vms.map((vm) => vm.findBlock([], DEADLY)),
    [undefined, undefined],
  );
  await timer.advance(2000);
  t.deepEqual(
    vms.map((vm) => vm.findBlock([], DEADLY)),
    [undefined, undefined],
  );
  vms.forEach((vm) => vm.stop());
});

// Many callers send the same request, so it is in progress when all workers crash at once.
test('a request that was answered before needs more crashes', async (t) => {
  const { timer, vms } = setUp('a');
  const [a] = vms as [PromptQuarantine];
  a.recordAnswer([], DEADLY);
  for (let other = 0; other < 30; other += 1) a.recordAnswer([], `request-${other}`);
  ['w1', 'w2', 'w3', 'w4'].forEach((worker) => a.recordLoss(worker, [], DEADLY));
  await timer.advance(2000);
  t.is(a.findBlock([], DEADLY), undefined);
  a.recordLoss('w5', [], DEADLY);
  t.not(a.findBlock([], DEADLY), undefined);
  a.stop();
});

test('a block of a request outlives the VM that found it', async (t) => {
  const { timer, vms, exchange } = setUp('a', 'b');
  const [a, b] = vms as [PromptQuarantine, PromptQuarantine];
  ['w1', 'w2', 'w3'].forEach((worker) => a.recordLoss(worker, [], DEADLY));
  await timer.advance(2000);
  a.stop();
  await exchange();
  t.not(b.findBlock([], DEADLY), undefined);
  // Batch items have no key: they are still owed.
  t.false(b.isBlocked([]));
  b.stop();
});

// A VM takes the reports that it reads at its start for new ones, and the stored ones kept old losses.
test('losses of two hours ago do not refuse a request at a VM that starts', async (t) => {
  const { timer, service, vms, exchange } = setUp('a');
  ['w1', 'w2', 'w3'].forEach((worker) => vms[0]!.recordLoss(worker, ['part', 'own'], DEADLY));
  await timer.advance(7_200_000);
  vms.push(createVm(service, timer, 'b'));
  await exchange();
  await timer.advance(2000);
  t.is(vms[1]!.findBlock(['part', 'own'], DEADLY), undefined);
  vms.forEach((vm) => vm.stop());
});

// Between the end of the second and the next check, callers were told to come again at once.
test('a suspended request is never told to come again within less than a second', async (t) => {
  const { timer, vms } = setUp('a');
  const [a] = vms as [PromptQuarantine];
  await timer.advance(100);
  ['w1', 'w2', 'w3'].forEach((worker) => a.recordLoss(worker, [], DEADLY));
  const waits: number[] = [];
  for (let step = 0; step < 12; step += 1) {
    waits.push(a.findBlock([], DEADLY)!.retryAfterMs!);
    await timer.advance(100);
  }
  t.true(Math.min(...waits) >= 1000, String(waits));
  a.stop();
});

const MINUTE_MS = 60_000;

/** Time from the first of three crashes to the end of the block, and a little more. */
const BLOCK_END_MS = 10 * MINUTE_MS + 2000;

const blockAt = async (vm: PromptQuarantine, timer: VirtualTimer): Promise<void> => {
  ['w1', 'w2', 'w3'].forEach((worker) => vm.recordLoss(worker, [], DEADLY));
  await timer.advance(2000);
};

// Each refused attempt renewed the block, so that it never ended for a caller that obeyed Retry-After.
test('the block of a request ends ten minutes after its crashes, however often it is sent', async (t) => {
  const { timer, service, vms, exchange } = setUp('a', 'b');
  const [a] = vms as [PromptQuarantine];
  await blockAt(a, timer);
  const minutes: number[] = [];
  for (let minute = 1; minute < 10; minute += 1) {
    await exchange();
    await timer.advance(minute * MINUTE_MS - timer.now());
    vms.forEach((vm) => minutes.push(vm.findBlock([], DEADLY)!.retryAfterMs! / MINUTE_MS));
  }
  t.deepEqual(minutes.map(Math.round), [9, 9, 8, 8, 7, 7, 6, 6, 5, 5, 4, 4, 3, 3, 2, 2, 1, 1]);
  const { entries } = service.state.list('q/blocked/', Infinity);
  await timer.advance(BLOCK_END_MS - 1500 - timer.now());
  const changes = entries.map((entry) => ({ kind: ChangeKind.Delete, entry }));
  vms.forEach((vm) => vm.apply(changes));
  await timer.advance(1500);
  t.deepEqual(service.state.list('q/blocked/', Infinity).entries, []);
  t.deepEqual(
    vms.map((vm) => vm.findBlock([], DEADLY)),
    [undefined, undefined],
  );
  vms.forEach((vm) => vm.stop());
});

test('a VM that starts later ends the block of a request at the same time', async (t) => {
  const { timer, service, vms, exchange } = setUp('a');
  await blockAt(vms[0]!, timer);
  await timer.advance(8 * MINUTE_MS);
  vms.push(createVm(service, timer, 'b'));
  await exchange();
  t.is(Math.round(vms[1]!.findBlock([], DEADLY)!.retryAfterMs! / MINUTE_MS), 2);
  await timer.advance(BLOCK_END_MS - timer.now());
  t.is(vms[1]!.findBlock([], DEADLY), undefined);
  vms.forEach((vm) => vm.stop());
});

// A request that crashes workers would otherwise crash three of them after each block.
test('one crash after the end of its block refuses a request again', async (t) => {
  const { timer, vms, exchange } = setUp('a', 'b');
  const [a, b] = vms as [PromptQuarantine, PromptQuarantine];
  await blockAt(a, timer);
  await exchange();
  await timer.advance(BLOCK_END_MS - timer.now());
  t.is(b.findBlock([], DEADLY), undefined);
  b.recordLoss('w4', [], DEADLY);
  t.not(b.findBlock([], DEADLY), undefined);
  await exchange();
  await timer.advance(2000);
  await exchange();
  vms.forEach((vm) => t.true(vm.findBlock([], DEADLY)!.retryAfterMs! > 9 * MINUTE_MS));
  vms.forEach((vm) => vm.stop());
});

test('an answer after the end of its block clears a request at all VMs', async (t) => {
  const { timer, vms, exchange } = setUp('a', 'b');
  const [a, b] = vms as [PromptQuarantine, PromptQuarantine];
  await blockAt(a, timer);
  await exchange();
  await timer.advance(BLOCK_END_MS - timer.now());
  b.recordAnswer([], DEADLY);
  await exchange();
  ['w4', 'w5'].forEach((worker) => a.recordLoss(worker, [], DEADLY));
  await timer.advance(2000);
  t.is(a.findBlock([], DEADLY), undefined);
  vms.forEach((vm) => vm.stop());
});

test('attempts at a request have the same key, and other requests have others', (t) => {
  const request: RepeatableRequest = {
    method: 'POST',
    host: 'h',
    target: '/p?q=1',
    headers: { authorization: 'caller', 'x-attempt': '1' },
    body: Buffer.from('prompt'),
    promptPrefixes: ['a', 'own'],
  };
  const repeat = { ...request, headers: { authorization: 'caller', 'x-attempt': '2' } };
  t.is(computeRequestKey(repeat), computeRequestKey(request));
  const others = [
    { method: 'PUT' },
    { host: 'i' },
    { target: '/p?q=2' },
    { headers: { authorization: 'another' } },
    { body: Buffer.from('prompt 2') },
    { promptPrefixes: ['a', 'other'] },
  ].map((change) => computeRequestKey({ ...request, ...change }));
  t.is(new Set([...others, computeRequestKey(request)]).size, others.length + 1);
});

// Guards against a request that crashes workers after the first event of its answer, which cleared it of all
// crashes before.
test('a request that crashes workers after its first event reaches few of them', async (t) => {
  const load: TaintedLoad = {
    seed: 25,
    vmCount: 7,
    taintedShare: 0.03,
    companions: 1,
    isSingleRequest: true,
    crashesAfterFirstEvent: true,
  };
  t.true((await countLateSends(load)) <= MAX_LATE_SENDS);
});

test('so does any such request, and requests beside it are still sent', async (t) => {
  await fc.assert(
    fc.asyncProperty(loadArbitrary, async (load) => {
      const fleet = new TaintedFleet({ ...load, crashesAfterFirstEvent: true }, 'none');
      await fleet.run(40_000);
      const from = (fleet.crashes[2] ?? Infinity) + CONTACT_MS;
      return (
        fleet.taintedSends.filter((at) => at > from).length <= MAX_LATE_SENDS &&
        fleet.refusedSound <= fleet.sound * MAX_REFUSED_SHARE
      );
    }),
    { numRuns: 40, seed: 25 },
  );
  t.pass();
});

// A stream of ten seconds is in progress at several crashes that it does not cause.
test('long streams that crashes of other cause cut again and again are not refused', async (t) => {
  for (const seed of [1, 2, 3, 4]) {
    const load = { seed, vmCount: 7, workerCount: 13, taintedShare: 0, companions: 1 };
    const fleet = new TaintedFleet({ ...load, answerMs: 10_000 }, 'none');
    for (let round = 0; round < 20; round += 1) {
      await fleet.run(2000);
      fleet.crashWorker(round % 13);
    }
    t.true(fleet.resent > 400, `${fleet.resent} sent again`);
    t.is(fleet.refusedSound, 0, `seed ${seed}`);
  }
});

test('a crash counts against a request that has just begun, and not late in its answer', async (t) => {
  for (const answerMs of [900, 1100]) {
    const { timer, vms } = setUp('a');
    const [a] = vms as [PromptQuarantine];
    for (const worker of ['w1', 'w2', 'w3']) {
      const sentAt = timer.now();
      a.recordAnswer(['part', 'own']);
      await timer.advance(answerMs);
      a.recordCut(worker, DEADLY, { startedAt: undefined, sentAt, firstDataAt: sentAt });
    }
    await timer.advance(2000);
    t.is(a.findBlock(['part', 'own'], DEADLY) !== undefined, answerMs < 1000);
    t.is(a.findBlock(['part', 'own'], 'request-other'), undefined);
    a.recordCompletion(DEADLY);
    t.is(a.findBlock(['part', 'own'], DEADLY), undefined);
    a.stop();
  }
});
