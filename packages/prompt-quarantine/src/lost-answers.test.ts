// Guards against a sound prompt part or request that is blocked on all VMs because connections to workers
// were reset while the workers went on: each loss counted as a crash.
import { silentLog, type Log, type LogValue } from '@jujubelanding/log';
import { MemoryMetrics, silentMetrics } from '@jujubelanding/metrics';
import { ConnectionResult } from '@jujubelanding/platform';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import test from 'ava';
import { TaintedFleet, type TaintedLoad } from './fixtures/index.js';
import { PromptQuarantine, type RequestLoss, type RunCheck } from './index.js';

const RESETS = { from: 5000, durationMs: 4000, workerShare: 0.5, requestShare: 0.05 };

/** One VM has no callers, so it sees no answers and learns of losses only from the others. */
const LOAD: TaintedLoad = {
  seed: 0,
  vmCount: 8,
  usedVmCount: 7,
  workerCount: 13,
  taintedShare: 0,
  companions: 1,
  requestIntervalMs: 1000 / 60,
  resets: RESETS,
};

const countRefused = async (load: Partial<TaintedLoad>) => {
  let refused = 0;
  let resets = 0;
  for (const firstParts of [1, 2, 4]) {
    for (let seed = 1; seed <= 10; seed += 1) {
      const fleet = new TaintedFleet({ ...LOAD, ...load, seed, firstParts }, 'none');
      await fleet.run(15_000);
      refused += fleet.refusedSound;
      resets += fleet.resets;
    }
  }
  return { refused, resets };
};

test('answers lost by resets of half of the workers block nothing', async (t) => {
  const { refused, resets } = await countRefused({});
  t.true(resets > 150, `${resets} resets`);
  t.is(refused, 0);
});

test('neither do they if the workers close new connections at once', async (t) => {
  const { refused, resets } = await countRefused({ resets: { ...RESETS, isOverLimit: true } });
  t.true(resets > 150, `${resets} resets`);
  t.is(refused, 0);
});

// Guards against crashes that do not count because other answers are lost at the same time.
test('a dangerous part reaches few workers also while answers are lost', async (t) => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const load = { ...LOAD, seed, taintedShare: 0.05, companions: 5, requestIntervalMs: 50 };
    const fleet = new TaintedFleet(
      { ...load, resets: { ...RESETS, durationMs: 10_000 } },
      'deadly',
    );
    await fleet.run(30_000);
    const fifth = fleet.crashes[4] ?? Infinity;
    t.true(fleet.crashes.length >= 3, `seed ${seed}`);
    t.true(fleet.taintedSends.filter((at) => at > fifth + 3000).length <= 3, `seed ${seed}`);
    t.true(fleet.refusedSound <= fleet.sound * 0.01, `seed ${seed}`);
  }
});

const DEADLY = 'request-deadly';

const setUp = (checkRun: RunCheck, log: Log = silentLog, metrics = silentMetrics) => {
  const timer = new VirtualTimer();
  const lost: RequestLoss[] = [];
  const suspected: RequestLoss[] = [];
  const vm = new PromptQuarantine({
    timer,
    log,
    metrics,
    store: new KeyValueService({ timer, random: createRandom(1) }).createClient('a'),
    lease: () => ({ current: undefined, replace: () => {} }),
    evidencePrefix: 'q/crash/',
    blockPrefix: 'q/blocked/',
    probePrefix: 'q/probe/',
    self: 'a',
    listServing: () => [],
    announce: (confirmed, pending) => {
      lost.push(...confirmed);
      suspected.push(...pending);
    },
    runIdOf: (workerId) => workerId,
    checkRun,
  });
  vm.start();
  const lose = (worker: string, request = DEADLY) =>
    vm.recordLoss(worker, [], request, undefined, timer.now());
  return { timer, vm, lose, lost, suspected };
};

const answerWith =
  (result: ConnectionResult): RunCheck =>
  () =>
    Promise.resolve(result);

test('losses of requests with a part at five workers block it only if the workers have crashed', async (t) => {
  for (const result of [ConnectionResult.Accepted, ConnectionResult.Refused]) {
    const { timer, vm } = setUp(answerWith(result));
    ['w1', 'w2', 'w3', 'w4', 'w5'].forEach((worker) =>
      vm.recordLoss(worker, ['part', `own-${worker}`], undefined, undefined, timer.now()),
    );
    await timer.advance(3000);
    t.is(vm.isBlocked(['part', 'other']), result === ConnectionResult.Refused);
  }
});

// Copies of a request in progress at other VMs must not crash further workers while a loss is checked.
test('all VMs suspect a lost request before its loss is decided', async (t) => {
  const { timer, vm, lose, lost, suspected } = setUp(answerWith(ConnectionResult.Refused));
  lose('w1');
  t.true(vm.isSuspected(DEADLY));
  await timer.advance(30);
  t.deepEqual([suspected, lost], [[[DEADLY, 'w1']], []]);
  const other = setUp(answerWith(ConnectionResult.Refused)).vm;
  other.applyLosses([], suspected);
  t.true(other.isSuspected(DEADLY));
  await timer.advance(200);
  t.deepEqual(lost, [[DEADLY, 'w1']]);
});

test('a suspicion without a confirmation ends at the other VMs, and at once where the worker goes on', async (t) => {
  const { timer, vm, lose, lost } = setUp(answerWith(ConnectionResult.Accepted));
  lose('w1');
  vm.applyLosses([], [['request-other', 'w2']]);
  t.true(vm.isSuspected('request-other'));
  await timer.advance(150);
  t.false(vm.isSuspected(DEADLY));
  await timer.advance(2000);
  t.false(vm.isSuspected('request-other'));
  t.deepEqual(lost, []);
});

test('a request with enough losses is refused while the last one is checked, and then as decided', async (t) => {
  const results = [ConnectionResult.Refused, ConnectionResult.Refused, ConnectionResult.Accepted];
  const { timer, vm, lose } = setUp(() => Promise.resolve(results.shift()));
  for (const worker of ['w1', 'w2']) {
    lose(worker);
    await timer.advance(500);
  }
  t.is(vm.findBlock([], DEADLY), undefined);
  lose('w3');
  t.not(vm.findBlock([], DEADLY), undefined);
  await timer.advance(150);
  t.is(vm.findBlock([], DEADLY), undefined);
  results.push(ConnectionResult.Silent);
  lose('w4');
  await timer.advance(150);
  t.not(vm.findBlock([], DEADLY), undefined);
  await timer.advance(2000);
  t.not(vm.findBlock([], DEADLY), undefined);
});

// The worker may be on its way down, or over its connection limit.
test('a worker that closes connections at once and then refuses them has crashed', async (t) => {
  const results = [ConnectionResult.Closed, ConnectionResult.Closed, ConnectionResult.Refused];
  const { timer, lose, lost } = setUp(() => Promise.resolve(results.shift()));
  lose('w1');
  await timer.advance(350);
  t.deepEqual(lost, []);
  await timer.advance(500);
  t.deepEqual(lost, [[DEADLY, 'w1']]);
});

// An answer that came between a loss and its decision would otherwise clear nothing.
test('an answer while a loss is checked clears the request of the crash', async (t) => {
  const { timer, vm, lose } = setUp(answerWith(ConnectionResult.Refused));
  ['w1', 'w2', 'w3'].forEach((worker) => lose(worker));
  await timer.advance(50);
  vm.recordAnswer([], DEADLY);
  await timer.advance(3000);
  t.is(vm.findBlock([], DEADLY), undefined);
  t.false(vm.isSuspected(DEADLY));
});

test('losses at one run share a connection, and those of a second open a bounded number', async (t) => {
  let checks = 0;
  const lines: Record<string, LogValue>[] = [];
  const log: Log = { ...silentLog, write: (_event, fields) => lines.push(fields ?? {}) };
  const metrics = new MemoryMetrics();
  const { timer, vm, lose, lost } = setUp(
    () => {
      checks += 1;
      return Promise.resolve(ConnectionResult.Accepted);
    },
    log,
    metrics,
  );
  [1, 2, 3].forEach((index) => lose('w1', `request-${index}`));
  await timer.advance(1000);
  t.is(checks, 1);
  t.like(lines[0], { worker: 'w1', losses: 3, verdict: 'alive', evidence: 'connection-accepted' });
  for (let worker = 0; worker < 30; worker += 1) lose(`v${worker}`, `request-${worker}`);
  await timer.advance(60);
  vm.recordData('v29', undefined);
  await timer.advance(500);
  t.is(checks, 21);
  t.is(lost.length, 9, 'one of ten runs without a check is known to go on');
  t.true(lines.length <= 11, `${lines.length} lines`);
  t.is(metrics.getSamples('quarantine.loss_decisions').length, 31);
});
