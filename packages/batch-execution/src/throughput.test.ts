import test from 'ava';
import { createExecutionFleet, submit } from './fixtures/execution-fleet.js';
import { createItems, getValue, runFor } from './fixtures/job-fleet.js';

type Fleet = ReturnType<typeof createExecutionFleet>;

const sum = (fleet: Fleet, name: string, outcome?: string): number =>
  fleet.metrics
    .getSamples(name)
    .filter(({ tags }) => outcome === undefined || tags.outcome === outcome)
    .reduce((total, { value }) => total + value, 0);

test('each item is counted once by outcome, and each generated token once', async (t) => {
  const fleet = createExecutionFleet();
  const items = createItems(200);
  items[7]!.messages[0]!.content += '[[always-fails]]';
  await submit(fleet, items, { maxAttempts: 2 });
  await fleet.timer.advance(20_000);
  t.is(sum(fleet, 'batch.items', 'succeeded'), 199);
  t.is(sum(fleet, 'batch.items', 'failed'), 1);
  t.is(sum(fleet, 'batch.items', 'discarded'), 0);
  const generated = [...fleet.engines.values()].reduce(
    (total, { counts }) => total + counts.totalTokens,
    0,
  );
  t.is(sum(fleet, 'batch.tokens'), generated);
  // 20 s with at most three samples a second.
  t.true(fleet.metrics.getSamples('batch.items').length <= 40);
});

test('finished items of a chunk that is stopped count as discarded', async (t) => {
  const fleet = createExecutionFleet();
  const jobId = await submit(
    fleet,
    createItems(200).map((item) => ({ ...item, maxTokens: 60 })),
  );
  await fleet.timer.advance(5000);
  getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.cancel(jobId), 2000));
  const finished = sum(fleet, 'batch.items', 'succeeded');
  t.true(finished > 0 && finished < 200);
  t.is(sum(fleet, 'batch.items', 'discarded'), finished);
});

// Guards against losing the counts of the last second on a planned stop.
test('the counts of the last second are sent on a stop', async (t) => {
  const fleet = createExecutionFleet();
  await submit(fleet, createItems(200));
  await fleet.timer.advance(1700);
  fleet.executor.stop();
  t.is(sum(fleet, 'batch.items', 'discarded'), sum(fleet, 'batch.items', 'succeeded'));
  t.true(sum(fleet, 'batch.items', 'discarded') > 0);
});
