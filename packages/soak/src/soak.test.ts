import test from 'ava';
import { createSteps } from './step.js';
import { runSeed } from './index.js';

test('the steps of a seed are the same on every run and differ between seeds', (t) => {
  t.deepEqual(createSteps(7, 50), createSteps(7, 50));
  t.notDeepEqual(createSteps(7, 50), createSteps(8, 50));
});

test('a run with a fixed seed ends without a violation and gives the same figures again', async (t) => {
  const first = await runSeed({ seed: 11, steps: 150 });
  t.deepEqual(first.violations, []);
  t.true(first.acceptedJobs > 0 && first.resultsRead > 0);
  const second = await runSeed({ seed: 11, steps: 150 });
  t.deepEqual(second, first);
});
