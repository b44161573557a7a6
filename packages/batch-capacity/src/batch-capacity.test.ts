import test from 'ava';
import fc from 'fast-check';
import { FencingMode } from '@jujubelanding/types';
import {
  CapacityPolicyName,
  choosePreemptions,
  createBatchRequestId,
  createCapacityPolicy,
  computeDispatchStart,
  listForeignStreams,
  type CapacityState,
} from './index.js';

const decideAll = (
  name: CapacityPolicyName,
  slots: number,
  steps: readonly { online: number; at: number; foreignBatch?: number }[],
): number[] => {
  const policy = createCapacityPolicy(name);
  let state: CapacityState | undefined;
  return steps.map(({ online, at, foreignBatch = 0 }) => {
    const decision = policy.decide(state, { slots, online, foreignBatch }, at);
    state = decision.state;
    return decision.limit;
  });
};

test('batch and online work together never exceed the slots', (t) => {
  const steps = fc.array(
    fc.record({ online: fc.nat(20), at: fc.nat(5000), foreignBatch: fc.nat(3) }),
    { minLength: 1 },
  );
  fc.assert(
    fc.property(steps, fc.integer({ min: 1, max: 32 }), (list, slots) => {
      const ordered = list.toSorted((a, b) => a.at - b.at);
      const limits = decideAll(CapacityPolicyName.Adaptive, slots, ordered);
      return limits.every((limit, index) => {
        const { online, foreignBatch } = ordered[index]!;
        return limit >= 0 && limit <= Math.max(0, slots - online - foreignBatch);
      });
    }),
    { seed: 1 },
  );
  t.pass();
});

test('slots of a past peak stay reserved briefly and are released within a second', (t) => {
  const steps = [
    { online: 10, at: 0 },
    { online: 0, at: 10 },
    { online: 0, at: 1000 },
  ];
  const [, limitAfterPeak, limitAfterDecay] = decideAll(CapacityPolicyName.Adaptive, 16, steps);
  t.true(limitAfterPeak! <= 7);
  t.is(limitAfterDecay, 16);
});

test('a busy worker reserves a slot for the next request, a lightly loaded one does not', (t) => {
  t.deepEqual(decideAll(CapacityPolicyName.Adaptive, 8, [{ online: 4, at: 0 }]), [3]);
  t.deepEqual(decideAll(CapacityPolicyName.Adaptive, 8, [{ online: 1, at: 0 }]), [7]);
});

test('the baselines ignore online load', (t) => {
  const limits = (name: CapacityPolicyName) =>
    decideAll(name, 8, [
      { online: 0, at: 0 },
      { online: 8, at: 1 },
    ]);
  t.deepEqual(limits(CapacityPolicyName.Fifo), [8, 8]);
  t.deepEqual(limits(CapacityPolicyName.BatchOnly), [8, 8]);
  t.deepEqual(limits(CapacityPolicyName.StaticSplit), [4, 4]);
  t.deepEqual(limits(CapacityPolicyName.OnlineOnly), [0, 0]);
});

test('streams with the least progress are preempted first, ties by latest start', (t) => {
  const streams = [
    { requestId: 'far', tokens: 50, startedAt: 0 },
    { requestId: 'old', tokens: 2, startedAt: 0 },
    { requestId: 'new', tokens: 2, startedAt: 5 },
  ];
  const choose = (limit: number) => choosePreemptions(streams, limit).map((s) => s.requestId);
  t.deepEqual(choose(3), []);
  t.deepEqual(choose(1), ['new', 'old']);
  t.deepEqual(choose(0), ['new', 'old', 'far']);
});

test('after a takeover, dispatch waits only for workers that ignore fencing numbers', (t) => {
  t.is(computeDispatchStart(FencingMode.Checked, 1000), 1000);
  t.true(computeDispatchStart(FencingMode.Ignored, 1000) >= 1000 + 6000);
});

test('streams of another process are distinguished from own and online streams', (t) => {
  const own = createBatchRequestId('vm-1.boot-2', 'grant', 1);
  const other = createBatchRequestId('vm-1.boot-1', 'grant', 1);
  const longer = createBatchRequestId('vm-1.boot-22', 'grant', 1);
  const streams = [own, other, longer, 'online-1'];
  t.deepEqual(listForeignStreams({ streams }, 'vm-1.boot-2'), [other, longer]);
});
