import test from 'ava';
import { GLASS_TRADERS } from '../deployments.js';
import { FIRST_TOKEN_RATIO_TARGET, YIELD_TARGET_MS } from '../targets.js';
import { BenchPolicy, runPolicy } from './policies.js';

const run = async (policy: BenchPolicy, seed: number) => {
  const request = { deployment: GLASS_TRADERS, policy, seed, seconds: 25 };
  return (await runPolicy(request)).figures;
};

// Guards against runs that differ for the same seed, because they use random numbers or wall-clock
// time that the seed does not determine.
test('a run is the same for the same seed', async (t) => {
  const first = await run(BenchPolicy.Jujubelanding, 7);
  t.deepEqual(await run(BenchPolicy.Jujubelanding, 7), first);
  const other = await run(BenchPolicy.Jujubelanding, 8);
  t.notDeepEqual(other, first);
});

// Guards against a benchmark that rates a bad policy as good, because the load is too light or the
// measurements are too lenient.
test('fifo misses the online targets', async (t) => {
  const baseline = await run(BenchPolicy.OnlineOnly, 7);
  const fifo = await run(BenchPolicy.Fifo, 7);
  t.true(baseline.bursts! > 0);
  t.true(fifo.firstTokenP99Ms! > FIRST_TOKEN_RATIO_TARGET * baseline.firstTokenP99Ms!);
  t.true(fifo.yieldMaxMs! > YIELD_TARGET_MS);
});
