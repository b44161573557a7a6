// Guards against requests of one kind that crash worker after worker: each VM saw only some of the crashes,
// and none connected them with the prompt part that the lost requests had in common.
import test from 'ava';
import fc from 'fast-check';
import { silentLog, type Log } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { createRandom } from '@jujubelanding/random';
import { ChangeKind } from '@jujubelanding/platform';
import { KeyValueService, Reachability } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { TaintedFleet, type TaintedLoad } from './fixtures/index.js';
import { PromptQuarantine } from './index.js';

/** Time from the fifth crash after which requests with the part are counted. */
const CONTACT_MS = 3000;

/** Number of requests with the part that may still reach workers then. */
const MAX_LATE_REQUESTS = 3;

/** Stricter than the rule of the platform, which allows half. */
const MAX_REFUSED_SHARE = 0.01;

const DEADLY = 'deadly';

const loadArbitrary: fc.Arbitrary<TaintedLoad> = fc.record({
  seed: fc.nat(),
  vmCount: fc.integer({ min: 2, max: 12 }),
  taintedShare: fc.double({ min: 0.02, max: 0.6, noNaN: true }),
  /** Other parts that come with the dangerous one; one means that it never comes without that part. */
  companions: fc.integer({ min: 1, max: 20 }),
});

test('at most three requests with a dangerous part reach workers later than the contact time', async (t) => {
  await fc.assert(
    fc.asyncProperty(loadArbitrary, async (load) => {
      const fleet = new TaintedFleet(load, DEADLY);
      await fleet.run(40_000);
      const { crashes, taintedSends } = fleet;
      const fifth = crashes[4];
      if (fifth === undefined) return true;
      return taintedSends.filter((at) => at > fifth + CONTACT_MS).length <= MAX_LATE_REQUESTS;
    }),
    { numRuns: 60, seed: 22 },
  );
  t.pass();
});

test('requests without the part are still sent, those with its companions too', async (t) => {
  await fc.assert(
    fc.asyncProperty(loadArbitrary, async (load) => {
      const fleet = new TaintedFleet(load, DEADLY);
      await fleet.run(40_000);
      return fleet.refusedSound <= fleet.sound * MAX_REFUSED_SHARE;
    }),
    { numRuns: 60, seed: 22 },
  );
  t.pass();
});

// Workers also crash for other reasons, several at once, while requests wait at them.
test('crashes that no part explains block nothing', async (t) => {
  const fleet = new TaintedFleet({ seed: 5, vmCount: 7, taintedShare: 0, companions: 20 }, DEADLY);
  for (let round = 0; round < 12; round += 1) {
    await fleet.run(2500);
    fleet.crashWorkers(round % 4);
  }
  t.true(fleet.crashes.length > 10);
  t.is(fleet.refusedSound, 0);
});

// VMs with answers cleared a part of one crash after the other and reported none of it, as only one crash was
// open at a time. A VM without callers, for example one that has just started, blocked the part on all VMs.
test('neither do they if a VM without callers learns of them', async (t) => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const load = {
      seed,
      vmCount: 8,
      usedVmCount: 7,
      workerCount: 13,
      taintedShare: 0,
      companions: 1,
    };
    const fleet = new TaintedFleet({ ...load, firstParts: 2, firstTokenMs: 300 }, DEADLY);
    for (let round = 0; round < 12; round += 1) {
      await fleet.run(2500);
      fleet.crashWorkers(round % 4);
    }
    t.is(fleet.refusedSound, 0, `seed ${seed}`);
  }
});

// A part of all prompts is in each lost request, and while no worker is left, no answer clears it.
test('the loss of all workers does not block a part that is common to the requests', async (t) => {
  for (const firstParts of [1, 5, 10, 20]) {
    const load = { seed: firstParts, vmCount: 7, taintedShare: 0, companions: 20, firstParts };
    const fleet = new TaintedFleet({ ...load, requestIntervalMs: 5 }, DEADLY);
    for (let round = 0; round < 10; round += 1) {
      await fleet.run(6000);
      fleet.crashWorkers(6);
    }
    t.is(fleet.refusedSound, 0, `${firstParts} first parts`);
  }
});

/** Time until all VMs see a change: the pause between watches of these keys. */
const WATCH_DELAY_MS = 450;

const BLOCK_PREFIX = 'q/blocked/';

const createVm = (
  service: KeyValueService,
  timer: VirtualTimer,
  name: string,
  { others = [], log = silentLog }: { others?: readonly string[]; log?: Log } = {},
) =>
  new PromptQuarantine({
    timer,
    log,
    metrics: silentMetrics,
    store: service.createClient(name),
    lease: () => ({ current: undefined, replace: () => {} }),
    evidencePrefix: 'q/crash/',
    blockPrefix: BLOCK_PREFIX,
    probePrefix: 'q/probe/',
    self: name,
    listServing: () => others,
    announce: () => {},
    runIdOf: (workerId) => workerId,
  });

const listBlocks = (service: KeyValueService) =>
  service.state.list(BLOCK_PREFIX, Infinity).entries.map(({ key, value, modRevision }) => ({
    kind: ChangeKind.Put,
    entry: { key, value, modRevision },
  }));

test('a block outlives the VM that found it and the loss of its key', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const vm = createVm(service, timer, 'a');
  vm.start();
  ['w1', 'w2', 'w3'].forEach((worker) => vm.recordLoss(worker, ['x', DEADLY, worker]));
  await timer.advance(3000);
  vm.stop();
  const blocks = listBlocks(service);
  t.snapshot(blocks.map(({ entry }) => [entry.key, entry.value]));
  const restarted = createVm(service, timer, 'a');
  restarted.apply(blocks);
  const fault = restarted.findBlock(['x', DEADLY, 'another']);
  t.snapshot(fault && { ...fault, retryAfterMs: Math.round(fault.retryAfterMs! / 1000) });
  t.is(restarted.findBlock([DEADLY, 'another']), undefined);
  const [{ entry }] = blocks as [(typeof blocks)[0]];
  restarted.apply([{ kind: ChangeKind.Delete, entry: { ...entry, value: '' } }]);
  t.not(restarted.findBlock(['x', DEADLY, 'another']), undefined);
});

test('an answer to a request with one part of a blocked combination narrows the block', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const vm = createVm(service, timer, 'a');
  vm.start();
  ['w1', 'w2', 'w3'].forEach((worker) => vm.recordLoss(worker, ['x', DEADLY, worker]));
  await timer.advance(3000);
  t.false(vm.isBlocked(['x', 'another']));
  vm.recordAnswer(['x', 'another']);
  await timer.advance(100);
  t.true(vm.isBlocked([DEADLY, 'another']));
  t.snapshot(listBlocks(service).map(({ entry }) => [entry.key, entry.value]));
  vm.stop();
});

// VMs that learn of crashes in another order come to different blocks. A VM that had the narrower one already
// released the wider one of the others without storing its own, and they let the requests through.
test('what remains of a narrowed block is stored before the block is released', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const others = Array.from({ length: 20 }, (_value, index) => `vm-${index}`);
  const vm = createVm(service, timer, 'a', { others });
  ['w1', 'w2', 'w3'].forEach((worker) => vm.recordLoss(worker, [DEADLY, worker]));
  vm.start();
  await timer.advance(1000);
  vm.stop();
  const wide = { key: `${BLOCK_PREFIX}${DEADLY}+x`, value: 'blocked', modRevision: 1 };
  vm.apply([{ kind: ChangeKind.Put, entry: wide }]);
  const writes: string[] = [];
  vm.recordAnswer(['x', 'another']);
  await timer.advance(500);
  listBlocks(service)
    .toSorted((a, b) => a.entry.modRevision - b.entry.modRevision)
    .forEach(({ entry }) => writes.push(`${entry.key} ${entry.value}`));
  t.snapshot(writes);
});

test('a block is not released while what remains of it cannot be stored', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1), timeoutMs: 700 });
  const vm = createVm(service, timer, 'a');
  vm.start();
  ['w1', 'w2', 'w3'].forEach((worker) => vm.recordLoss(worker, ['x', DEADLY, worker]));
  await timer.advance(3000);
  // Only the first call is refused.
  service.faults.latency.floorMs = 2;
  service.faults.reachability = Reachability.Refusing;
  vm.recordAnswer(['x', 'another']);
  timer.after(3, () => {
    service.faults.reachability = Reachability.Up;
  });
  await timer.advance(100);
  vm.stop();
  t.snapshot(listBlocks(service).map(({ entry }) => [entry.key, entry.value]));
});

// A value of a later version that was not understood released the block.
test('values that cannot be read are logged and change nothing', (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const events: string[] = [];
  const log: Log = { ...silentLog, write: (event) => events.push(event) };
  const vm = createVm(service, timer, 'a', { log });
  const put = (key: string, value: string): void =>
    vm.apply([{ kind: ChangeKind.Put, entry: { key, value, modRevision: 1 } }]);
  put(`${BLOCK_PREFIX}${DEADLY}`, 'blocked');
  put(`${BLOCK_PREFIX}${DEADLY}`, 'a state of a later version');
  put('q/crash/b', 'not a report');
  t.true(vm.isBlocked([DEADLY, 'own']));
  t.deepEqual(events, ['prompt-part-blocked', 'block-skipped', 'evidence-skipped']);
});

// The lease of a block can end in an outage. All VMs noticed that at once and stored the block again.
test('in a large fleet, few VMs store a block again after its key was lost', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const names = Array.from({ length: 100 }, (_value, index) => `vm-${index}`);
  const vms = names.map((name) => createVm(service, timer, name, { others: names }));
  const key = `${BLOCK_PREFIX}${DEADLY}`;
  const put = { kind: ChangeKind.Put, entry: { key, value: 'blocked', modRevision: 1 } };
  vms.forEach((vm) => {
    vm.start();
    vm.apply([put]);
  });
  await timer.advance(60_000);
  const writesBefore = service.readCounters().commit ?? 0;
  vms.forEach((vm) => vm.apply([{ kind: ChangeKind.Delete, entry: { ...put.entry, value: '' } }]));
  await timer.advance(WATCH_DELAY_MS);
  listBlocks(service).forEach((change) => vms.forEach((vm) => vm.apply([change])));
  await timer.advance(5000);
  vms.forEach((vm) => vm.stop());
  t.true((service.readCounters().commit ?? 0) - writesBefore <= names.length / 10);
});

test('a block ends some time after the last request to which it applied', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const vm = createVm(service, timer, 'a');
  vm.start();
  ['w1', 'w2', 'w3'].forEach((worker) => vm.recordLoss(worker, [DEADLY, worker]));
  await timer.advance(3000);
  await timer.advance(500_000);
  t.not(vm.findBlock([DEADLY, 'another']), undefined);
  await timer.advance(500_000);
  t.true(vm.isBlocked([DEADLY, 'another']));
  await timer.advance(700_000);
  t.false(vm.isBlocked([DEADLY, 'another']));
  vm.stop();
});
