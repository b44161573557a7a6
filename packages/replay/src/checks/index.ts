/** Maps each kind of expectation to its check. */
import { ExpectationKind, type Expectation, type ExpectationOf } from '../trace/expectations.js';
import type { ReplayHarness } from '../replay-harness.js';
import type { Difference } from './difference.js';
import * as fleet from './fleet.js';
import * as jobs from './jobs.js';
import * as requests from './requests.js';

type ExpectationChecks = {
  [K in ExpectationKind]: (
    harness: ReplayHarness,
    expectation: ExpectationOf<K>,
  ) => Difference | undefined;
};

const CHECKS: ExpectationChecks = {
  [ExpectationKind.Outcome]: requests.checkOutcome,
  [ExpectationKind.Burst]: requests.checkBurst,
  [ExpectationKind.JobEnd]: jobs.checkJobEnd,
  [ExpectationKind.SameJob]: jobs.checkSameJob,
  [ExpectationKind.OneWinner]: fleet.checkOneWinner,
  [ExpectationKind.CancelBound]: jobs.checkCancelBound,
  [ExpectationKind.LeavingBound]: fleet.checkLeavingBound,
  [ExpectationKind.YieldBound]: fleet.checkYieldBound,
  [ExpectationKind.ConfigurationInForce]: fleet.checkConfigurationInForce,
  [ExpectationKind.ConfigurationReverts]: fleet.checkConfigurationReverts,
  [ExpectationKind.FirstToken]: requests.checkFirstToken,
  [ExpectationKind.Executions]: requests.checkExecutions,
  [ExpectationKind.NotRunExecutions]: requests.checkNotRunExecutions,
  [ExpectationKind.PlannedStop]: requests.checkPlannedStop,
};

/** Checks an expectation after the end of the trace. */
export const checkExpectation = (
  harness: ReplayHarness,
  expectation: Expectation,
): Difference | undefined => {
  const check = CHECKS[expectation.expect] as (
    harness: ReplayHarness,
    expectation: Expectation,
  ) => Difference | undefined;
  return check(harness, expectation);
};
