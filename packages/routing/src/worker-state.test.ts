import test from 'ava';
import { CacheEventKind, type CacheEvent } from '@jujubelanding/types';
import { PrefixIndex, RetryBudget, WorkerHealth } from './index.js';

const SERVICE = 'advisor';

const createEvent = (
  sequence: number,
  prefixHash: string,
  kind = CacheEventKind.Stored,
): CacheEvent => ({ sequence, kind, prefixHash });

test('consecutive faults eject a worker; it is reinstated gradually and ejected at the next fault', (t) => {
  const health = new WorkerHealth();
  t.false(health.recordFault(SERVICE, 'w', 0));
  health.recordSuccess(SERVICE, 'w', 0);
  t.false(health.recordFault(SERVICE, 'w', 0));
  t.false(health.recordFault(SERVICE, 'w', 0));
  t.true(health.recordFault(SERVICE, 'w', 0));
  t.is(health.trafficShare('w', 4999), 0);
  t.is(health.trafficShare('w', 5000), 0.1);
  t.is(health.trafficShare('w', 10_000), 0.55);
  t.true(health.recordFault(SERVICE, 'w', 10_000));
  t.is(health.trafficShare('w', 19_999), 0);
  t.is(health.trafficShare('w', 30_000), 1);
});

test('slow workers are ejected, but not all workers of a service', (t) => {
  const health = new WorkerHealth();
  const record = (id: string, latencyMs: number): boolean => {
    let isEjected = false;
    for (let index = 0; index < 20; index += 1) {
      if (health.recordLatency(SERVICE, id, latencyMs, 0)) isEjected = true;
    }
    return isEjected;
  };
  ['a', 'b', 'c', 'd'].forEach((id) => t.false(record(id, 100)));
  t.true(record('e', 1000));
  t.true(record('f', 1000));
  t.false(record('g', 150));
  t.is(health.trafficShare('a', 0), 1);
});

/** Records rounds of one first token per worker; returns the ejected workers by round. */
const recordRounds = (
  health: WorkerHealth,
  rounds: number,
  findLatency: (worker: number) => number,
): number[][] =>
  Array.from({ length: rounds }, (_, round) =>
    Array.from({ length: 10 }, (__, worker) => worker).filter((worker) =>
      health.recordLatency(SERVICE, `w${worker}`, findLatency(worker), round),
    ),
  );

// Guards against a detection that needs so many samples that it takes half a minute.
test('a worker that becomes slow is ejected after a few first tokens', (t) => {
  const health = new WorkerHealth();
  recordRounds(health, 20, () => 50);
  const ejected = recordRounds(health, 3, (worker) => (worker === 4 ? 500 : 50));
  t.deepEqual(ejected, [[], [], [4]]);
});

// Guards against ejecting a worker for one long prompt or a short queue.
test('single slow first tokens eject nothing', (t) => {
  const health = new WorkerHealth();
  for (let round = 0; round < 20; round += 1) {
    const ejected = recordRounds(health, 1, (worker) => (worker === round % 3 ? 2000 : 50));
    t.deepEqual(ejected, [[]]);
  }
});

// Guards against losing capacity when all workers become slow at the same time.
test('no worker is ejected when the whole fleet is slow', (t) => {
  const health = new WorkerHealth();
  recordRounds(health, 20, () => 50);
  const ejected = recordRounds(health, 20, () => 1000).flat();
  t.deepEqual(ejected, []);
});

// Guards against a limit that does not count workers ejected before.
test('at most a third of a service is ejected for latency at once', (t) => {
  const health = new WorkerHealth();
  recordRounds(health, 20, () => 50);
  const ejected = recordRounds(health, 20, (worker) => (worker < 5 ? 1000 : 50)).flat();
  t.is(ejected.length, 3);
});

test('a gap in cache events drops the prefixes indexed before it', (t) => {
  const index = new PrefixIndex();
  index.applyEvents('w', [createEvent(1, 'a'), createEvent(2, 'b')], 0);
  t.is(index.match('w', ['a', 'b'], 0), 2);
  index.applyEvents('w', [createEvent(3, 'b', CacheEventKind.Evicted)], 2);
  t.is(index.match('w', ['a', 'b'], 0), 1);
  index.applyEvents('w', [createEvent(5, 'c')], 3);
  t.is(index.match('w', ['a'], 0), 0);
  t.is(index.match('w', ['c'], 0), 1);
});

test('events of a restarted worker replace those of its earlier run', (t) => {
  const index = new PrefixIndex();
  index.applyEvents('w', [createEvent(1, 'a'), createEvent(2, 'b')], 0);
  index.applyEvents('w', [createEvent(1, 'c')], 0);
  t.is(index.match('w', ['a'], 0), 0);
  t.is(index.match('w', ['c'], 0), 1);
});

test('prefixes of own completions expire and are limited in number', (t) => {
  const index = new PrefixIndex();
  index.addCompletion('w', ['a'], 0);
  t.is(index.match('w', ['a'], 299_999), 1);
  t.is(index.match('w', ['a'], 300_000), 0);
  for (let count = 0; count < 2000; count += 1) index.addCompletion('w', [`p${count}`], 0);
  t.is(index.match('w', ['a'], 0), 0);
  t.is(index.match('w', ['p0'], 0), 1);
  index.removeMissed('w', ['p0']);
  t.is(index.match('w', ['p0'], 0), 0);
});

test('retries stay within the burst reserve plus a tenth of the requests', (t) => {
  const budget = new RetryBudget();
  let retries = 0;
  for (let request = 0; request < 1000; request += 1) {
    budget.addRequest();
    while (budget.takeRetry()) retries += 1;
  }
  t.true(retries >= 149 && retries <= 150);
});

test('one first-token timeout ejects a worker, but never half of a service', (t) => {
  const health = new WorkerHealth();
  const workers = ['a', 'b', 'c', 'd', 'e', 'f'];
  workers.forEach((id) => health.recordLatency('s', id, 20, 100));
  t.true(health.recordFirstTokenTimeout('s', 'a', 200, 600));
  t.is(health.trafficShare('a', 600), 0);
  t.true(health.recordFirstTokenTimeout('s', 'b', 200, 600));
  t.false(health.recordFirstTokenTimeout('s', 'c', 200, 600));
});

// Guards against a limit on ejections that, in a service of two workers, never ejects the unreachable
// one, so that it keeps getting requests.
test('the first unresponsive worker is ejected however few workers the VM has sent to', (t) => {
  const health = new WorkerHealth();
  t.true(health.recordFirstTokenTimeout('s', 'a', 200, 600));
  t.false(health.recordFirstTokenTimeout('s', 'b', 200, 600));
  t.deepEqual([health.trafficShare('a', 600), health.trafficShare('b', 600)], [0, 1]);
});

test('a worker that answered another request meanwhile is not considered unresponsive', (t) => {
  const health = new WorkerHealth();
  ['a', 'b', 'c'].forEach((id) => health.recordLatency('s', id, 20, 100));
  health.recordSuccess('s', 'a', 300);
  t.false(health.recordFirstTokenTimeout('s', 'a', 200, 600));
  t.true(health.recordFirstTokenTimeout('s', 'a', 400, 800));
});
