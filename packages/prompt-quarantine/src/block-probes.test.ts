// Guards against blocks that refuse sound requests for ten minutes: when all workers crash at once, a part
// that no VM has seen answered is at as many crashes as a dangerous one, and no answer clears a blocked part.
import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService, Reachability } from '@jujubelanding/stand-ins';
import { StoreFollower } from '@jujubelanding/store-follower';
import { VirtualTimer } from '@jujubelanding/timer';
import { TaintedFleet } from './fixtures/index.js';
import { PromptQuarantine } from './index.js';

/** Time after the disturbance in which all accepted work has to be done. */
const DEADLINE_MS = 18_000;

const PART = 'shared';

test('a new part is served again after a crash of all workers, the first requests with it included', async (t) => {
  for (const seed of [1, 2, 3, 4, 5]) {
    for (const vmCount of [1, 3, 12]) {
      const load = { seed, vmCount, taintedShare: 1, companions: 1, isHarmless: true };
      const fleet = new TaintedFleet({ ...load, firstTokenMs: 400 }, PART);
      await fleet.run(390);
      fleet.crashWorkers(6);
      await fleet.run(DEADLINE_MS);
      t.true(fleet.taintedRefusals.length > 0, `the part is blocked at first, seed ${seed}`);
      const refusals = fleet.taintedRefusals.length;
      await fleet.run(5000);
      t.is(fleet.taintedRefusals.length, refusals, `seed ${seed}, ${vmCount} VMs`);
    }
  }
});

test('a part is served again also if the workers crash once more when its first probe is sent', async (t) => {
  const load = { seed: 3, vmCount: 3, taintedShare: 1, companions: 1, isHarmless: true };
  const fleet = new TaintedFleet({ ...load, firstTokenMs: 400 }, PART);
  await fleet.run(390);
  fleet.crashWorkers(6);
  const sentBefore = fleet.taintedSends.length;
  for (let step = 0; step < 200 && fleet.taintedSends.length === sentBefore; step += 1) {
    await fleet.run(50);
  }
  t.true(fleet.taintedSends.length > sentBefore, 'a probe is sent');
  fleet.crashWorkers(6);
  await fleet.run(DEADLINE_MS);
  const refusals = fleet.taintedRefusals.length;
  await fleet.run(5000);
  t.is(fleet.taintedRefusals.length, refusals);
});

/** Time from the crashes until all VMs know the block. */
const BLOCKED_MS = 3100;

const RETRY_MS = 100;

/** Starts VMs that follow the store, at which three workers crashed under requests with the part. */
const setUp = async (names: readonly string[]) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const vms = names.map((name) => {
    const store = service.createClient(name);
    const vm = new PromptQuarantine({
      timer,
      log: silentLog,
      metrics: silentMetrics,
      store,
      lease: () => ({ current: undefined, replace: () => {} }),
      evidencePrefix: 'q/crash/',
      blockPrefix: 'q/blocked/',
      probePrefix: 'q/probe/',
      self: name,
      listServing: () => names.filter((other) => other !== name),
      announce: () => {},
      runIdOf: (workerId) => workerId,
    });
    const follower = new StoreFollower({
      store,
      timer,
      log: silentLog,
      prefix: 'q/',
      watchMs: 1000,
      pauseMs: 450,
      onChanges: (changes) => vm.apply(changes),
    });
    follower.start();
    vm.start();
    return vm;
  });
  ['w1', 'w2', 'w3'].forEach((worker) => vms[0]!.recordLoss(worker, [PART, worker]));
  await timer.advance(BLOCKED_MS);
  /** Requests the part at all VMs all the time, and returns the VMs that let it through. */
  const request = async (durationMs: number): Promise<PromptQuarantine[]> => {
    const open = new Set<PromptQuarantine>();
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += RETRY_MS) {
      await timer.advance(RETRY_MS);
      vms.filter((vm) => vm.findBlock([PART, 'own']) === undefined).forEach((vm) => open.add(vm));
    }
    return [...open];
  };
  return { timer, service, vms, request };
};

// VMs that all take a probe of their own would crash as many workers.
test('one VM of the fleet sends a probe, and another one follows only when the next is due', async (t) => {
  const { request } = await setUp(Array.from({ length: 30 }, (_value, index) => `vm-${index}`));
  const [prober, ...others] = await request(4000);
  t.deepEqual(others, []);
  t.not(prober!.takeProbe([PART, 'own']), undefined);
  t.is(prober!.takeProbe([PART, 'another']), undefined, 'one request is the probe');
  t.deepEqual(await request(6000), []);
  t.is((await request(5000)).length, 1);
});

test('a probe that no worker has run is given back, and one that is not used goes to another VM', async (t) => {
  const { timer, vms, request } = await setUp(['a', 'b']);
  const [prober] = await request(4000);
  prober!.takeProbe([PART, 'own'])!.giveBack();
  t.is(prober!.findBlock([PART, 'own']), undefined);
  const other = vms.find((vm) => vm !== prober)!;
  const waits: boolean[] = [];
  for (let step = 0; step < 60; step += 1) {
    await timer.advance(RETRY_MS);
    waits.push(other.findBlock([PART, 'own']) !== undefined);
  }
  t.true(waits[0]);
  t.false(waits.at(-1), 'the first VM got no request with the part any more');
});

test('without the store nothing is probed', async (t) => {
  const { service, request } = await setUp(['a', 'b']);
  service.faults.reachability = Reachability.Refusing;
  t.deepEqual(await request(10_000), []);
});

test('callers of a blocked part are told to come when its next probe is due', async (t) => {
  const { vms, request } = await setUp(['a']);
  const [vm] = vms as [PromptQuarantine];
  t.true(vm.findBlock([PART, 'own'])!.retryAfterMs! <= 3000);
  await request(4000);
  vm.takeProbe([PART, 'own']);
  t.true(vm.findBlock([PART, 'own'])!.retryAfterMs! <= 9000);
});

// VMs that came to different blocks from the same crashes each reserved the probe of one, and none sent any.
test('requests to which several blocks apply are probed', async (t) => {
  const { vms, timer } = await setUp(['a', 'b', 'c', 'd', 'e', 'f']);
  ['w4', 'w5', 'w6'].forEach((worker) => vms[1]!.recordLoss(worker, ['other', worker]));
  ['w7', 'w8', 'w9'].forEach((worker) => vms[2]!.recordLoss(worker, ['third', worker]));
  await timer.advance(BLOCKED_MS);
  const parts = [PART, 'other', 'third', 'own'];
  let isOpen = false;
  for (let step = 0; step < 80 && !isOpen; step += 1) {
    await timer.advance(RETRY_MS);
    isOpen = vms.map((vm) => vm.findBlock(parts)).includes(undefined);
  }
  t.true(isOpen);
});
