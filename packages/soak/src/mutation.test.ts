import test from 'ava';
import { Invariant, Mutation, runSeed } from './index.js';

interface Expectation {
  /** The invariant that must catch the fault. */
  invariant: Invariant;
  /** Seed tried first; chosen because it causes the fault, to keep the test short. */
  seed: number;
}

const EXPECTATIONS: Record<Mutation, Expectation> = {
  [Mutation.ForgetClaims]: { invariant: Invariant.AtMostOnce, seed: 1 },
  [Mutation.IgnoreExpectedRevision]: { invariant: Invariant.OneWinner, seed: 1 },
  [Mutation.ForgetCancel]: { invariant: Invariant.CancelledJob, seed: 2 },
  [Mutation.IgnoreLeaving]: { invariant: Invariant.LeavingWorker, seed: 1 },
  [Mutation.ClaimNotRun]: { invariant: Invariant.NotRun, seed: 1 },
  [Mutation.AcknowledgeEarly]: { invariant: Invariant.AcceptedKept, seed: 1 },
  [Mutation.ChangeResults]: { invariant: Invariant.ResultOnce, seed: 1 },
  [Mutation.StopAtOnce]: { invariant: Invariant.PlannedStop, seed: 1 },
  [Mutation.IgnoreFence]: { invariant: Invariant.Fencing, seed: 7 },
  [Mutation.RevertConfiguration]: { invariant: Invariant.MonotonicConfiguration, seed: 1 },
  [Mutation.FillAllSlots]: { invariant: Invariant.BatchLimit, seed: 1 },
  [Mutation.AcceptTruncated]: { invariant: Invariant.WholeAnswer, seed: 1 },
};

const STEPS = 500;

/** Faults need a particular order of events, so a mutation may take several seeds to show. */
const OTHER_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

const isCaught = async (mutation: Mutation, seed: number): Promise<boolean> => {
  const { violations } = await runSeed({ seed, steps: STEPS, mutation });
  return violations.some(({ invariant }) => invariant === EXPECTATIONS[mutation].invariant);
};

for (const mutation of Object.values(Mutation)) {
  const { invariant, seed } = EXPECTATIONS[mutation];
  test.serial(`the fault ${mutation} is caught: ${invariant}`, async (t) => {
    t.timeout(600_000);
    for (const tried of [seed, ...OTHER_SEEDS]) {
      if (await isCaught(mutation, tried)) {
        t.pass();
        return;
      }
    }
    t.fail('no seed caught the fault');
  });
}
