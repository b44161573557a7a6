import test from 'ava';
import { Invariant, Mutation, runSeed } from './index.js';

interface Expectation {
  /** Invariant that must detect the mutation. */
  invariant: Invariant;
  /** Seed tried first, expected to trigger the violation, so that the test stays short. */
  seed: number;
  steps?: number;
}

const STEPS = 500;

/** Enough for checks that need no injected fault or run at the end. */
const SHORT_RUN_STEPS = 60;

const EXPECTATIONS: Record<Mutation, Expectation[]> = {
  [Mutation.ForgetClaims]: [{ invariant: Invariant.AtMostOnce, seed: 1 }],
  [Mutation.IgnoreExpectedRevision]: [{ invariant: Invariant.OneWinner, seed: 1 }],
  [Mutation.ForgetCancel]: [{ invariant: Invariant.CancelledJob, seed: 2 }],
  [Mutation.IgnoreLeaving]: [{ invariant: Invariant.LeavingWorker, seed: 1 }],
  [Mutation.ClaimNotRun]: [{ invariant: Invariant.NotRun, seed: 2 }],
  [Mutation.AcknowledgeEarly]: [{ invariant: Invariant.AcceptedKept, seed: 1 }],
  [Mutation.ChangeResults]: [{ invariant: Invariant.ResultOnce, seed: 1 }],
  [Mutation.StopAtOnce]: [{ invariant: Invariant.PlannedStop, seed: 1 }],
  [Mutation.IgnoreFence]: [{ invariant: Invariant.Fencing, seed: 4 }],
  [Mutation.RevertConfiguration]: [{ invariant: Invariant.MonotonicConfiguration, seed: 1 }],
  [Mutation.FillAllSlots]: [{ invariant: Invariant.BatchLimit, seed: 1 }],
  [Mutation.AcceptTruncated]: [{ invariant: Invariant.WholeAnswer, seed: 1 }],
  [Mutation.SkipRepair]: [{ invariant: Invariant.CopiesRepaired, seed: 2 }],
  [Mutation.StoreOneCopy]: [{ invariant: Invariant.CopiesStored, seed: 1, steps: SHORT_RUN_STEPS }],
  [Mutation.RemoveResults]: [
    { invariant: Invariant.Recoverable, seed: 1, steps: 250 },
    { invariant: Invariant.ResultsReadable, seed: 4, steps: SHORT_RUN_STEPS },
  ],
  [Mutation.KeepLease]: [{ invariant: Invariant.DispatchWithLease, seed: 8 }],
  [Mutation.RouteAway]: [{ invariant: Invariant.SideServes, seed: 1 }],
  [Mutation.LoadBlindly]: [{ invariant: Invariant.LoadWithWeightStore, seed: 1 }],
  [Mutation.ForgetLoads]: [{ invariant: Invariant.PlacementDone, seed: 1, steps: SHORT_RUN_STEPS }],
};

/** A violation may need a particular order of events, so a mutation can take several seeds to detect. */
const FALLBACK_SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

const isDetected = async (
  mutation: Mutation,
  { invariant, steps }: Expectation,
  seed: number,
): Promise<boolean> => {
  const options = { seed, steps: steps ?? STEPS, mutation, stopAt: invariant };
  const { violations } = await runSeed(options);
  return violations.some((violation) => violation.invariant === invariant);
};

for (const mutation of Object.values(Mutation)) {
  for (const expectation of EXPECTATIONS[mutation]) {
    test.serial(`the mutation ${mutation} is detected: ${expectation.invariant}`, async (t) => {
      t.timeout(600_000);
      for (const seed of [expectation.seed, ...FALLBACK_SEEDS]) {
        if (await isDetected(mutation, expectation, seed)) {
          t.log(`seed ${seed}`);
          return t.pass();
        }
      }
      return t.fail('no seed detected the mutation');
    });
  }
}
