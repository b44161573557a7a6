import test from 'ava';
import { PeerMethod } from '@jujubelanding/peer-protocol';
import { computeAnswer, createStreamFaults } from '@jujubelanding/stand-ins';
import { FencingMode, ItemStatus, JobStatus, VmState, type BatchItem } from '@jujubelanding/types';
import {
  countExecutions,
  countStreams,
  createExecutionFleet,
  readResults,
  submit,
  type ExecutionFleet,
} from './fixtures/execution-fleet.js';
import { WriteFault, createItems, getValue, runFor } from './fixtures/job-fleet.js';

const ALWAYS_FAILS = '[[always-fails]]';

const computeText = ({ messages, maxTokens }: BatchItem): string =>
  computeAnswer({ messages, maxTokens }).tokens.join('');

const readStatus = async (fleet: ExecutionFleet, jobId: string): Promise<JobStatus> =>
  getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.get(jobId), 10)).status;

const createLongItems = (count: number): BatchItem[] =>
  createItems(count).map((item) => ({ ...item, maxTokens: 200 }));

test('each item of a job has one result with its whole answer', async (t) => {
  const fleet = createExecutionFleet();
  const items = createItems(700);
  const jobId = await submit(fleet, items);
  await fleet.timer.advance(30_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  const results = await readResults(fleet, jobId);
  t.deepEqual(
    results.map(({ itemId, text }) => [itemId, text]),
    items.map((item) => [item.itemId, computeText(item)]),
  );
  t.is(countExecutions(fleet), 700);
});

test('an item that always fails is reported as failed after its last attempt; the others succeed', async (t) => {
  const fleet = createExecutionFleet();
  const items = createItems(50);
  items[7]!.messages[0]!.content += ALWAYS_FAILS;
  const jobId = await submit(fleet, items, { maxAttempts: 3 });
  await fleet.timer.advance(20_000);
  const results = await readResults(fleet, jobId);
  t.deepEqual(
    results.filter(({ status }) => status === ItemStatus.Failed).map(({ index }) => index),
    [7],
  );
  t.is(results[7]!.attempts, 3);
  t.regex(results[7]!.reason!, /generation failed/);
  t.is(countExecutions(fleet), 49 + 3);
});

test('a burst of online requests cancels batch streams at once; their tokens are not generated again', async (t) => {
  const fleet = createExecutionFleet();
  const items = createLongItems(40);
  const jobId = await submit(fleet, items);
  await fleet.timer.advance(3000);
  t.true(countStreams(fleet) >= 28);
  fleet.workers.setOnline('worker-0', 16);
  // Streams are cancelled by the change of online load itself, not by the next periodic check.
  await fleet.timer.advance(1);
  t.is(fleet.executor.countRunning('worker-0'), 0);
  t.is(fleet.workers.batch.get('worker-0'), 0);
  fleet.workers.setOnline('worker-0', 0);
  await fleet.timer.advance(60_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  const generated = [...fleet.engines.values()].reduce(
    (sum, { counts }) => sum + counts.totalTokens,
    0,
  );
  // Each preempted stream may have had one token in transit.
  t.true(generated <= 40 * 200 + 16);
  const results = await readResults(fleet, jobId);
  t.deepEqual(
    results.map(({ text }) => text),
    items.map(computeText),
  );
  t.true(results.every(({ attempts }) => attempts === 1));
});

test('after a cancel the streams end and no item is started', async (t) => {
  const fleet = createExecutionFleet();
  const jobId = await submit(fleet, createLongItems(300));
  await fleet.timer.advance(2000);
  getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.cancel(jobId), 10));
  await fleet.timer.advance(1500);
  t.is(countStreams(fleet), 0);
  const before = countExecutions(fleet);
  await fleet.timer.advance(10_000);
  t.is(countExecutions(fleet), before);
});

test('without contact to the job owner no item is started after 1.5 s', async (t) => {
  const fleet = createExecutionFleet();
  await submit(fleet, createItems(2000));
  await fleet.timer.advance(2000);
  fleet.network.down.add('vm-0');
  await fleet.timer.advance(1600);
  const before = countExecutions(fleet);
  t.true(before < 2000);
  await fleet.timer.advance(10_000);
  t.is(countExecutions(fleet), before);
});

test('a new job owner takes over running chunks without running items again', async (t) => {
  const fleet = createExecutionFleet();
  const jobId = await submit(fleet, createItems(400));
  await fleet.timer.advance(1000);
  fleet.network.down.add('vm-0');
  await fleet.timer.advance(4000);
  fleet.shards.assignOwner('vm-2', ['vm-0']);
  await fleet.timer.advance(30_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  t.is(countExecutions(fleet), 400);
});

test('a worker that dies loses no item', async (t) => {
  const fleet = createExecutionFleet();
  const items = createLongItems(40);
  const jobId = await submit(fleet, items);
  await fleet.timer.advance(3000);
  fleet.engines.get('worker-0')!.crash();
  await fleet.timer.advance(90_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  const results = await readResults(fleet, jobId);
  t.deepEqual(
    results.map(({ text }) => text),
    items.map(computeText),
  );
});

test('an item that failed on a worker is retried on another one', async (t) => {
  const fleet = createExecutionFleet();
  fleet.engines.get('worker-0')!.streamFaults.failChance = 1;
  const jobId = await submit(fleet, createItems(200), { maxAttempts: 2 });
  await fleet.timer.advance(20_000);
  const results = await readResults(fleet, jobId);
  t.is(results.length, 200);
  t.true(results.every(({ status }) => status === ItemStatus.Succeeded));
});

// Each refusal of such an item paused its worker, so that all workers were paused all the time.
test('items that all workers refuse do not keep other items from the workers', async (t) => {
  const fleet = createExecutionFleet({ maxOutputTokens: 300 });
  const large = createItems(48).map((item) => ({ ...item, maxTokens: 400 }));
  await submit(fleet, large);
  await fleet.timer.advance(1000);
  const jobId = await submit(fleet, createItems(200), { idempotencyKey: 'key-2' });
  await fleet.timer.advance(18_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
});

test('streams of a worker that stops responding are cancelled after the request timeout', async (t) => {
  const fleet = createExecutionFleet();
  const jobId = await submit(fleet, createLongItems(40));
  await fleet.timer.advance(3000);
  fleet.engines.get('worker-0')!.pause();
  await fleet.timer.advance(120_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
});

test('streams with wrong ids, gaps, early ends or breaks produce complete answers only', async (t) => {
  const fleet = createExecutionFleet();
  fleet.engines.forEach((engine) => {
    Object.assign(engine.streamFaults, {
      ...createStreamFaults(),
      breakChance: 0.1,
      wrongIdChance: 0.1,
      swapChance: 0.1,
      gapChance: 0.1,
      truncateChance: 0.1,
    });
  });
  const items = createItems(300);
  const jobId = await submit(fleet, items, { maxAttempts: 20 });
  await fleet.timer.advance(60_000);
  const results = await readResults(fleet, jobId);
  t.deepEqual(
    results.map(({ text }) => text),
    items.map(computeText),
  );
});

test('a slow item does not keep the other slots idle', async (t) => {
  const fleet = createExecutionFleet({ engineCount: 1 });
  const items = createItems(600);
  items[0]!.maxTokens = 2000;
  await submit(fleet, items);
  await fleet.timer.advance(15_000);
  t.is(countExecutions(fleet), 600);
  t.is(countStreams(fleet), 1);
});

test('streams on a worker whose shard is lost are cancelled, and none is started there', async (t) => {
  const fleet = createExecutionFleet();
  await submit(fleet, createLongItems(100));
  await fleet.timer.advance(2000);
  fleet.workerShards.expireLease('vm-1');
  await fleet.timer.advance(200);
  t.is(countStreams(fleet), 0);
  const before = countExecutions(fleet);
  await fleet.timer.advance(5000);
  t.is(countExecutions(fleet), before);
});

test('a leaving worker gets no new item', async (t) => {
  const fleet = createExecutionFleet();
  await submit(fleet, createItems(2000));
  await fleet.timer.advance(1000);
  fleet.workers.states.set('worker-0', VmState.Leaving);
  const { counts } = fleet.engines.get('worker-0')!;
  const before = counts.totalExecutions;
  await fleet.timer.advance(5000);
  t.is(counts.totalExecutions, before);
});

test('workers that ignore fencing numbers get items only after the previous lease has ended', async (t) => {
  const fleet = createExecutionFleet({ fencing: FencingMode.Ignored });
  await submit(fleet, createItems(100));
  await fleet.timer.advance(7500);
  t.is(countExecutions(fleet), 0);
  await fleet.timer.advance(2000);
  t.true(countExecutions(fleet) > 0);
});

test('a completion whose reply is lost is sent again until answered and counts once', async (t) => {
  const fleet = createExecutionFleet();
  fleet.network.lostReplies.add(PeerMethod.CompleteChunk);
  const jobId = await submit(fleet, createItems(100));
  await fleet.timer.advance(10_000);
  fleet.network.lostReplies.clear();
  await fleet.timer.advance(10_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  t.is((await readResults(fleet, jobId)).length, 100);
  t.is(countExecutions(fleet), 100);
});

test('a job owner lost at the commit leaves one result per item', async (t) => {
  const fleet = createExecutionFleet();
  fleet.vms[0]!.store.faults = [{ at: 0, fault: WriteFault.LostAfter }];
  const jobId = await submit(fleet, createItems(300));
  await fleet.timer.advance(5000);
  fleet.network.down.add('vm-0');
  fleet.shards.assignOwner('vm-2', ['vm-0']);
  await fleet.timer.advance(30_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  t.is((await readResults(fleet, jobId)).length, 300);
});

test('an idle executor sends at most two requests a second', async (t) => {
  const fleet = createExecutionFleet();
  await fleet.timer.advance(5000);
  const before = fleet.network.calls.length;
  await fleet.timer.advance(60_000);
  t.true(fleet.network.calls.length - before <= 120);
});
