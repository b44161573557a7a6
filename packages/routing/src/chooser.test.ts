import test from 'ava';
import { createRandom } from '@jujubelanding/random';
import {
  ChoiceReason,
  createLeastReportedChooser,
  createLoadAwareChooser,
  createRandomChooser,
  type Candidate,
} from './index.js';

const createCandidate = (
  workerId: string,
  online: number,
  change: Partial<Candidate> = {},
): Candidate => ({
  workerId,
  availabilityZone: 'a',
  load: { workerId, slots: 10, online, batch: 0, ageMs: 0 },
  reportedOnline: online,
  prefixMatch: 0,
  trafficShare: 1,
  ...change,
});

const choose = (candidates: Candidate[], random = createRandom(1)) =>
  createLoadAwareChooser()(candidates, { availabilityZone: 'a', random });

test('the least loaded local worker is chosen up to the threshold for other zones', (t) => {
  const remote = createCandidate('r', 0, { availabilityZone: 'b' });
  const near = choose([createCandidate('l', 2), createCandidate('m', 3), remote]);
  t.like(near, { workerId: 'l', reason: ChoiceReason.LeastLoad });
  const far = choose([createCandidate('l', 3), createCandidate('m', 4), remote]);
  t.like(far, { workerId: 'r', reason: ChoiceReason.ZoneSpillover });
});

test('a cached prefix wins within the load skew and never with all slots busy', (t) => {
  const cached = (online: number) => createCandidate('c', online, { prefixMatch: 3 });
  t.like(choose([createCandidate('l', 1), cached(3)]), {
    workerId: 'c',
    reason: 'prefix-affinity',
  });
  t.is(choose([createCandidate('l', 1), cached(4)])?.workerId, 'l');
  t.is(choose([createCandidate('l', 9), cached(10)])?.workerId, 'l');
});

// Guards against queueing in bursts, when several entry VMs take a worker's last slot at once.
test('a worker with one free slot loses to another zone and is not preferred for a cached prefix', (t) => {
  const remote = createCandidate('r', 8, { availabilityZone: 'b' });
  t.like(choose([createCandidate('l', 9), remote]), {
    workerId: 'r',
    reason: ChoiceReason.ZoneSpillover,
  });
  const cached = createCandidate('c', 9, { prefixMatch: 3 });
  t.is(choose([createCandidate('l', 8), cached])?.workerId, 'l');
  const full = createCandidate('f', 10, { availabilityZone: 'b' });
  t.is(choose([createCandidate('l', 9), full])?.workerId, 'l');
});

test('batch work only breaks ties, so that online requests avoid preemptions', (t) => {
  const batch = (online: number, count: number) => {
    const load = { workerId: 'b', slots: 10, online, batch: count, ageMs: 0 };
    return createCandidate('b', online, { load });
  };
  t.is(choose([batch(1, 5), createCandidate('l', 1)])?.workerId, 'l');
  t.is(choose([batch(1, 5), createCandidate('l', 2)])?.workerId, 'b');
});

test('a worker without fresh load does not attract all requests', (t) => {
  const load = { workerId: 'u', slots: 10, online: 0, batch: 0, ageMs: 10_000 };
  const unknown = createCandidate('u', 0, { load });
  const candidates = [unknown, createCandidate('l', 2), createCandidate('m', 6)];
  t.is(choose(candidates)?.workerId, 'l');
});

test('a remote worker without fresh load is tried when all known workers are full', (t) => {
  const load = { workerId: 'u', slots: 10, online: 0, batch: 0, ageMs: 10_000 };
  const unknown = createCandidate('u', 0, { load, availabilityZone: 'b' });
  const full = [createCandidate('l', 10), createCandidate('m', 10)];
  t.like(choose([...full, unknown]), { workerId: 'u', reason: ChoiceReason.ZoneSpillover });
});

test('ejected workers get no requests, reinstated ones a share, and all are used if none is left', (t) => {
  const ejected = createCandidate('e', 0, { trafficShare: 0 });
  const reinstated = createCandidate('i', 0, { trafficShare: 0.2 });
  const random = createRandom(3);
  const counts: Record<string, number> = {};
  for (let index = 0; index < 1000; index += 1) {
    const candidates = [ejected, reinstated, createCandidate('h', 3)];
    const chosen = createLoadAwareChooser()(candidates, { availabilityZone: 'a', random });
    counts[chosen!.workerId] = (counts[chosen!.workerId] ?? 0) + 1;
  }
  t.is(counts.e, undefined);
  t.true(counts.i! > 150 && counts.i! < 250);
  t.is(choose([ejected])?.workerId, 'e');
  t.is(choose([]), undefined);
});

test('a large set is sampled, which spreads the choices of VMs with the same view', (t) => {
  const candidates = Array.from({ length: 100 }, (_, index) =>
    createCandidate(`w${index}`, index % 4),
  );
  const chosen = new Set<string>();
  const random = createRandom(4);
  for (let vm = 1; vm <= 60; vm += 1) chosen.add(choose(candidates, random)!.workerId);
  t.is(choose(candidates)?.reason, ChoiceReason.PowerOfTwo);
  t.true(chosen.size > 20);
});

/**
 * Returns the largest load after requests were placed with load reports refreshed every 20
 * requests.
 */
const measurePeak = (chooser: ReturnType<typeof createRandomChooser>): number => {
  const random = createRandom(5);
  const loads = new Map(Array.from({ length: 12 }, (_, index) => [`w${index}`, 0]));
  const reported = new Map(loads);
  for (let request = 0; request < 360; request += 1) {
    if (request % 20 === 0) loads.forEach((online, id) => reported.set(id, online));
    const candidates = [...loads].map(([id, online]) =>
      createCandidate(id, online, { reportedOnline: reported.get(id)! }),
    );
    const { workerId } = chooser(candidates, { availabilityZone: 'a', random })!;
    loads.set(workerId, loads.get(workerId)! + 1);
  }
  return Math.max(...loads.values());
};

test('corrected load spreads requests better than random or the last report', (t) => {
  const corrected = measurePeak(createLoadAwareChooser());
  t.is(corrected, 30);
  t.true(measurePeak(createRandomChooser()) > corrected + 5);
  t.true(measurePeak(createLeastReportedChooser()) > corrected);
});
