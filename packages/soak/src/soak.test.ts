import test from 'ava';
import { createSteps } from './step.js';
import { runSeed } from './index.js';

test('the steps of a seed are the same on every run and differ between seeds', (t) => {
  t.deepEqual(createSteps(7, 50), createSteps(7, 50));
  t.notDeepEqual(createSteps(7, 50), createSteps(8, 50));
});

test('a run with a fixed seed ends without a violation and gives the same result when repeated', async (t) => {
  const first = await runSeed({ seed: 11, steps: 150 });
  t.deepEqual(first.violations, []);
  t.true(first.acceptedJobs > 0 && first.resultsRead > 0);
  const second = await runSeed({ seed: 11, steps: 150 });
  t.deepEqual(second, first);
});

/** Seeds with which earlier versions reported false violations of `SideServes`, for the given reasons. */
const REGRESSION_SEEDS = [
  { seed: 1075, reason: 'the only worker of a side crashed between two samples of its health' },
  {
    seed: 2097,
    reason: 'a side cut off from the VM list could not learn that a worker was live again',
  },
];

for (const { seed, reason } of REGRESSION_SEEDS) {
  test(`seed ${seed} ends without a violation although ${reason}`, async (t) => {
    const { violations } = await runSeed({ seed, steps: 2000 });
    t.deepEqual(violations, []);
  });
}
