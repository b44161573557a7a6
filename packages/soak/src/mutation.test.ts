import test from 'ava';
import { Invariant, Mutation, runSeed } from './index.js';

/** Invariant that must catch each deliberate fault, and a seed and step count that cause it. */
const EXPECTATIONS: Record<Mutation, { invariant: Invariant; seed: number; steps: number }> = {
  [Mutation.ForgetClaims]: { invariant: Invariant.AtMostOnce, seed: 1, steps: 200 },
  [Mutation.IgnoreExpectedRevision]: { invariant: Invariant.OneWinner, seed: 1, steps: 200 },
  [Mutation.ForgetCancel]: { invariant: Invariant.CancelledJob, seed: 1, steps: 300 },
  [Mutation.IgnoreLeaving]: { invariant: Invariant.LeavingWorker, seed: 1, steps: 300 },
  [Mutation.ClaimNotRun]: { invariant: Invariant.NotRun, seed: 1, steps: 300 },
  [Mutation.AcknowledgeEarly]: { invariant: Invariant.AcceptedKept, seed: 1, steps: 200 },
  [Mutation.ChangeResults]: { invariant: Invariant.ResultOnce, seed: 1, steps: 300 },
  [Mutation.StopAtOnce]: { invariant: Invariant.PlannedStop, seed: 1, steps: 300 },
  [Mutation.IgnoreFence]: { invariant: Invariant.Fencing, seed: 1, steps: 300 },
  [Mutation.RevertConfiguration]: {
    invariant: Invariant.MonotonicConfiguration,
    seed: 1,
    steps: 200,
  },
  [Mutation.FillAllSlots]: { invariant: Invariant.BatchLimit, seed: 1, steps: 300 },
  [Mutation.AcceptTruncated]: { invariant: Invariant.WholeAnswer, seed: 1, steps: 300 },
};

for (const mutation of Object.values(Mutation)) {
  const { invariant, seed, steps } = EXPECTATIONS[mutation];
  test.serial(`the fault ${mutation} is caught: ${invariant}`, async (t) => {
    const { violations } = await runSeed({ seed, steps, mutation });
    t.true(
      violations.some((violation) => violation.invariant === invariant),
      `violations: ${JSON.stringify(violations.slice(0, 3))}`,
    );
  });
}
