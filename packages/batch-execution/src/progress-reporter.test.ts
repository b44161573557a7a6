import test from 'ava';
import { GRANT_TIMEOUT_MS } from '@jujubelanding/batch-jobs';
import { DatagramKind, PeerMethod } from '@jujubelanding/peer-protocol';
import { createRandom } from '@jujubelanding/random';
import { JobStatus } from '@jujubelanding/types';
import {
  countExecutions,
  countStreams,
  createExecutionFleet,
  submit,
  type ExecutionFleet,
} from './fixtures/execution-fleet.js';
import { createItems, getValue, runFor } from './fixtures/job-fleet.js';

const PROGRESS_KINDS: readonly DatagramKind[] = [
  DatagramKind.ProgressNotice,
  DatagramKind.ProgressAnswer,
  DatagramKind.GrantStop,
];

const createLongItems = (count: number) =>
  createItems(count).map((item) => ({ ...item, maxTokens: 200 }));

const readStatus = async (fleet: ExecutionFleet, jobId: string): Promise<JobStatus> =>
  getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.get(jobId), 10)).status;

const countCalls = (fleet: ExecutionFleet): number =>
  fleet.network.calls.filter(({ method }) => method === PeerMethod.ReportProgress).length;

// Guards against one report per shard: each job is in a different shard.
test('chunks of several shards are reported in one notice a second, without calls', async (t) => {
  const fleet = createExecutionFleet({ engineCount: 4 });
  for (let index = 0; index < 6; index += 1) {
    await submit(fleet, createLongItems(200), { idempotencyKey: `key-${index}` });
  }
  await fleet.timer.advance(3000);
  const before = fleet.datagrams.count(DatagramKind.ProgressNotice);
  await fleet.timer.advance(10_000);
  t.true(countStreams(fleet) > 0);
  t.true(fleet.datagrams.count(DatagramKind.ProgressNotice) - before <= 11);
  t.is(countCalls(fleet), 0);
});

// Guards against sending the list in every notice although the owner already has it.
test('a list of grants is sent until the owner has answered for it', async (t) => {
  const fleet = createExecutionFleet();
  await submit(fleet, createLongItems(200));
  await fleet.timer.advance(10_000);
  const lists = fleet.datagrams.sent.flatMap(({ datagram }) =>
    datagram.kind === DatagramKind.ProgressNotice ? [datagram.grants !== undefined] : [],
  );
  t.true(lists.length >= 9);
  t.is(lists.filter(Boolean).length, 1);
});

test('an owner that answers no datagrams, such as one of an earlier version, gets reports by call', async (t) => {
  const fleet = createExecutionFleet();
  fleet.datagrams.deliveryDelays = () => [];
  const jobId = await submit(fleet, createItems(700));
  await fleet.timer.advance(30_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  t.is(countExecutions(fleet), 700);
  t.true(countCalls(fleet) > 0);
});

for (const seed of [1, 2, 3]) {
  test(`no item runs twice when progress datagrams are lost, duplicated or late, seed ${seed}`, async (t) => {
    const fleet = createExecutionFleet();
    const random = createRandom(seed);
    fleet.datagrams.deliveryDelays = () =>
      Array.from({ length: random.nextInt(3) }, () => random.nextInt(10) ** 3 * 4);
    const jobId = await submit(fleet, createLongItems(400));
    await fleet.timer.advance(200_000);
    t.is(await readStatus(fleet, jobId), JobStatus.Completed);
    t.is(countExecutions(fleet), 400);
  });
}

// Guards against a late answer that is taken for current contact with the owner.
test('answers that arrive late do not let items start after 1.5 s', async (t) => {
  const fleet = createExecutionFleet();
  // A single chunk, because another grant would count as contact.
  await submit(fleet, createLongItems(200));
  await fleet.timer.advance(2000);
  fleet.network.lostReplies.add(PeerMethod.ReportProgress);
  fleet.datagrams.deliveryDelays = ({ datagram }) =>
    datagram.kind === DatagramKind.ProgressAnswer ? [1700] : [1];
  await fleet.timer.advance(1600);
  const before = countExecutions(fleet);
  t.true(before < 200);
  await fleet.timer.advance(20_000);
  t.true(fleet.datagrams.count(DatagramKind.ProgressAnswer) > 20);
  t.is(countExecutions(fleet), before);
});

test('a cancel stops streams in progress at once', async (t) => {
  const fleet = createExecutionFleet();
  const jobId = await submit(fleet, createLongItems(300));
  await fleet.timer.advance(2000);
  t.true(countStreams(fleet) > 0);
  getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.cancel(jobId), 50));
  await fleet.timer.advance(100);
  t.is(countStreams(fleet), 0);
});

for (const lost of PROGRESS_KINDS) {
  test(`a cancel stops streams and new items within 2 s when each ${lost} is lost`, async (t) => {
    const fleet = createExecutionFleet();
    const jobId = await submit(fleet, createLongItems(300));
    await fleet.timer.advance(2000);
    fleet.datagrams.deliveryDelays = ({ datagram }) => (datagram.kind === lost ? [] : [1]);
    getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.cancel(jobId), 10));
    await fleet.timer.advance(1900);
    t.is(countStreams(fleet), 0);
    const before = countExecutions(fleet);
    await fleet.timer.advance(10_000);
    t.is(countExecutions(fleet), before);
  });
}

test('chunks of an executor that is lost are granted again after the grant timeout', async (t) => {
  const fleet = createExecutionFleet();
  await submit(fleet, createLongItems(200));
  await fleet.timer.advance(2000);
  fleet.network.down.add('vm-1');
  const request = { shard: 0, executorId: 'vm-2', models: ['base'], slots: 300 };
  const requestChunks = async () => {
    const reply = fleet.vms[0]!.owner.requestChunk(request);
    return getValue(await runFor(fleet.timer, reply, 10)).grants;
  };
  await fleet.timer.advance(GRANT_TIMEOUT_MS - 1500);
  t.deepEqual(await requestChunks(), []);
  await fleet.timer.advance(1600);
  t.is((await requestChunks()).length, 1);
});

// Guards against a paused executor that continues chunks that were granted to others meanwhile.
test('an executor that was cut off stops the chunks that were granted to another one', async (t) => {
  const fleet = createExecutionFleet();
  await submit(fleet, createLongItems(300));
  await fleet.timer.advance(2000);
  fleet.network.down.add('vm-1');
  await fleet.timer.advance(GRANT_TIMEOUT_MS + 100);
  const request = { shard: 0, executorId: 'vm-2', models: ['base'], slots: 300 };
  const reply = fleet.vms[0]!.owner.requestChunk(request);
  t.is(getValue(await runFor(fleet.timer, reply, 10)).grants.length, 2);
  fleet.network.down.delete('vm-1');
  await fleet.timer.advance(1500);
  t.is(countStreams(fleet), 0);
});

test('a new job owner takes over the active chunks although every second datagram is lost', async (t) => {
  const fleet = createExecutionFleet();
  let count = 0;
  fleet.datagrams.deliveryDelays = () => {
    count += 1;
    return count % 2 === 0 ? [1] : [];
  };
  const jobId = await submit(fleet, createItems(400));
  await fleet.timer.advance(1000);
  fleet.network.down.add('vm-0');
  await fleet.timer.advance(4000);
  fleet.shards.assignOwner('vm-2', ['vm-0']);
  await fleet.timer.advance(30_000);
  t.is(await readStatus(fleet, jobId), JobStatus.Completed);
  t.is(countExecutions(fleet), 400);
});
