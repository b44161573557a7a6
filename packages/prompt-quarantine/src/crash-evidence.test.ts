import test from 'ava';
import { CrashEvidence } from './index.js';

const addCrashes = (evidence: CrashEvidence, crashes: readonly string[][], from = 0): number => {
  crashes.forEach((parts, index) => {
    evidence.addLoss(`w${from + index}`, [...parts, `own-${from + index}`], (from + index) * 100);
  });
  return (from + crashes.length) * 100;
};

const CONFIRMED_MS = 1000;

test('a part in three crashes without an answer counts as dangerous, and those beside it do not', (t) => {
  const evidence = new CrashEvidence();
  const now = addCrashes(evidence, [
    ['d', 'a'],
    ['d', 'b', 'c'],
    ['d', 'a', 'c'],
  ]);
  t.deepEqual(evidence.findDangerous(now), []);
  t.deepEqual(evidence.findDangerous(now + CONFIRMED_MS), ['d']);
  evidence.explain(['d'], now);
  t.deepEqual(evidence.findDangerous(now + CONFIRMED_MS), []);
});

// A part of many prompts is in progress at most crashes, whatever their cause.
test('an answer after the crashes clears a part, and one before them makes it need more crashes', (t) => {
  const evidence = new CrashEvidence();
  const now = addCrashes(evidence, [['a'], ['a'], ['a']]);
  evidence.addAnswer('a', evidence.listOpenCrashes('a'), now);
  t.deepEqual(evidence.findDangerous(now + CONFIRMED_MS), []);
  addCrashes(evidence, [['a'], ['a'], ['a'], ['a']], 3);
  t.deepEqual(evidence.findDangerous(5000), []);
  addCrashes(evidence, [['a']], 7);
  t.deepEqual(evidence.findDangerous(5000), ['a']);
});

test('a part in a few of many crashes at once is not blamed', (t) => {
  const evidence = new CrashEvidence();
  for (let worker = 0; worker < 14; worker += 1) {
    const parts = worker < 4 ? ['a', `b${worker}`] : [`b${worker}`];
    evidence.addLoss(`w${worker}`, [...parts, `own-${worker}`], 0);
  }
  t.deepEqual(evidence.findDangerous(CONFIRMED_MS), []);
});

test('parts that were in the same crashes count as dangerous in combination only', (t) => {
  const evidence = new CrashEvidence();
  const now = addCrashes(evidence, [
    ['d', 'b'],
    ['d', 'b'],
    ['d', 'b', 'c'],
  ]);
  t.deepEqual(evidence.findDangerous(now + CONFIRMED_MS), ['b', 'd']);
  evidence.explain(['b', 'd'], now);
  // Two more crashes tell them apart.
  addCrashes(evidence, [['d'], ['d', 'e']], 10);
  t.deepEqual(evidence.findDangerous(1100 + CONFIRMED_MS), ['d']);
});

// After the loss of a network path, a request that is sent again is lost at each worker it is sent to.
test('a request that is lost several times does not make its parts dangerous', (t) => {
  const evidence = new CrashEvidence();
  ['w1', 'w2', 'w3', 'w4', 'w5'].forEach((worker) =>
    evidence.addLoss(worker, ['a', 'b', 'own'], 0),
  );
  t.deepEqual(evidence.findDangerous(CONFIRMED_MS), []);
});

test('reports that arrive late do not blame other parts for crashes that are explained', (t) => {
  const evidence = new CrashEvidence();
  const now = addCrashes(evidence, [['d'], ['d'], ['d']]);
  evidence.explain(['d'], now);
  addCrashes(evidence, [['a'], ['a'], ['a']]);
  t.deepEqual(evidence.findDangerous(now + CONFIRMED_MS), []);
});

test('evidence is forgotten after a minute', (t) => {
  const evidence = new CrashEvidence();
  addCrashes(evidence, [['d'], ['d'], ['d']]);
  evidence.prune(120_000);
  t.true(evidence.isEmpty);
});
