import test from 'ava';
import {
  CompletionStatus,
  PeerMethod,
  ProgressDecision,
  type ChunkGrant,
} from '@jujubelanding/peer-protocol';
import { FaultCode } from '@jujubelanding/errors';
import { Reachability } from '@jujubelanding/stand-ins';
import { JobControl, JobStatus, RecordKind } from '@jujubelanding/types';
import {
  MODEL,
  RETENTION_MS,
  WriteFault,
  createCompletion,
  createItems,
  createJobFleet,
  createSubmission,
  type JobFleet,
} from './fixtures/job-fleet.js';
import { getFault, getValue, runFor } from './fixtures/segment-fleet.js';
import { GRANT_TIMEOUT_MS } from './index.js';

const OTHER_VM = 1;

/** Makes vm-0 the owner of all shards and submits one job. */
const setUp = async (itemCount: number, change: object = {}) => {
  const fleet = createJobFleet();
  fleet.shards.assignOwner('vm-0');
  const submission = createSubmission(createItems(itemCount), change);
  const { job } = getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.submit(submission)));
  const [first, second] = fleet.vms;
  return { fleet, job, first: first!, second: second! };
};

const requestChunks = async (fleet: JobFleet, vm: number, slots = 1): Promise<ChunkGrant[]> => {
  const request = { shard: 0, executorId: `executor-${vm}`, models: [MODEL], slots };
  const reply = runFor(fleet.timer, fleet.vms[vm]!.owner.requestChunk(request), 10);
  return getValue(await reply).grants;
};

const complete = async (fleet: JobFleet, vm: number, grant: ChunkGrant, text?: string) => {
  const completion = await createCompletion(fleet.vms[2]!, grant, text);
  return runFor(fleet.timer, fleet.vms[vm]!.owner.completeChunk(completion));
};

const report = (fleet: JobFleet, vm: number, { shard, jobId, chunk, grantId }: ChunkGrant) => {
  const grants = [{ jobId, chunk, grantId }];
  const { owner } = fleet.vms[vm]!;
  return runFor(fleet.timer, owner.reportProgress({ shard, executorId: 'executor-0', grants }), 10);
};

const collectTexts = async (fleet: JobFleet, jobId: string): Promise<string[]> => {
  const texts: string[] = [];
  for await (const { text } of fleet.vms[2]!.jobs.readResults(jobId, 0, 1e6)) texts.push(text!);
  return texts;
};

const readTexts = (fleet: JobFleet, jobId: string): Promise<string[]> =>
  runFor(fleet.timer, collectTexts(fleet, jobId), 100);

const readJob = async (fleet: JobFleet, jobId: string) =>
  getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.get(jobId), 10));

test('a job whose chunks are all committed is completed, with one result per item', async (t) => {
  const { fleet, job } = await setUp(300);
  const grants = await requestChunks(fleet, 0, 300);
  t.deepEqual(
    grants.map(({ firstItem, itemCount }) => [firstItem, itemCount]),
    [
      [0, 200],
      [200, 100],
    ],
  );
  for (const grant of grants) {
    t.is(getValue(await complete(fleet, 0, grant)).status, CompletionStatus.Committed);
  }
  t.is((await readJob(fleet, job.id)).status, JobStatus.Completed);
  t.is((await readTexts(fleet, job.id)).length, 300);
});

test('a chunk is granted again after the timeout and its first committed result is kept', async (t) => {
  const { fleet, job } = await setUp(3);
  const [early] = await requestChunks(fleet, 0);
  t.deepEqual(await requestChunks(fleet, 0), []);
  await fleet.timer.advance(GRANT_TIMEOUT_MS);
  const [late] = await requestChunks(fleet, 0);
  t.is(getValue(await complete(fleet, 0, early!, 'first')).status, CompletionStatus.Committed);
  t.is(getValue(await complete(fleet, 0, late!, 'second')).status, CompletionStatus.Committed);
  t.deepEqual(await readTexts(fleet, job.id), ['first', 'first', 'first']);
});

test('a paused owner that resumes after its shard was taken over cannot change a result', async (t) => {
  const { fleet, job } = await setUp(3);
  const [grant] = await requestChunks(fleet, 0);
  fleet.shards.assignOwner('vm-1', ['vm-0']);
  await fleet.timer.advance(2000);
  t.is(
    getValue(await complete(fleet, OTHER_VM, grant!, 'new owner')).status,
    CompletionStatus.Committed,
  );
  const stale = await complete(fleet, 0, grant!, 'paused owner');
  t.is(getValue(stale).status, CompletionStatus.Committed);
  t.deepEqual(await readTexts(fleet, job.id), Array(3).fill('new owner'));
  t.is((await readJob(fleet, job.id)).fence, 2);
});

test('when two owners commit different results concurrently, one wins', async (t) => {
  const { fleet, job, first, second } = await setUp(300);
  const [grant] = await requestChunks(fleet, 0);
  fleet.shards.assignOwner('vm-1', ['vm-0']);
  await fleet.timer.advance(2000);
  const completions = [
    await createCompletion(fleet.vms[2]!, grant!, 'paused owner'),
    await createCompletion(fleet.vms[2]!, grant!, 'new owner'),
  ];
  // Delays the write of the stale owner, so that its record is outdated when it arrives.
  first.client.faults.latency.floorMs = 500;
  const answers = [first.owner.completeChunk(completions[0]!)];
  await fleet.timer.advance(100);
  answers.push(second.owner.completeChunk(completions[1]!));
  const replies = await runFor(fleet.timer, Promise.all(answers));
  t.true(replies.every((reply) => getValue(reply).status === CompletionStatus.Committed));
  // The job is still open, so only the committed result of the chunk prevents the overwrite.
  t.deepEqual(await readTexts(fleet, job.id), Array(200).fill('new owner'));
});

test('an owner that noticed the end of its lease writes nothing', async (t) => {
  const { fleet, first } = await setUp(3);
  const [grant] = await requestChunks(fleet, 0);
  const completion = await createCompletion(fleet.vms[2]!, grant!);
  const answer = first.owner.completeChunk(completion);
  fleet.shards.expireLease('vm-0');
  t.is(getFault(await runFor(fleet.timer, answer)).code, FaultCode.NotOwner);
  t.deepEqual(first.store.writes, []);
});

for (const fault of Object.values(WriteFault)) {
  test(`an owner with fault ${fault} at a commit leaves one result after the completion is resent`, async (t) => {
    const { fleet, job, first } = await setUp(3);
    const [grant] = await requestChunks(fleet, 0);
    first.store.faults = [{ at: 0, fault }];
    const completion = await createCompletion(fleet.vms[2]!, grant!, 'result');
    const answer = first.owner.completeChunk(completion);
    await fleet.timer.advance(5000);
    fleet.shards.assignOwner('vm-1');
    await fleet.timer.advance(2000);
    const again = await runFor(fleet.timer, fleet.vms[1]!.owner.completeChunk(completion));
    t.is(getValue(again).status, CompletionStatus.Committed);
    if (fault === WriteFault.ReplyLost) {
      t.is(getValue(await answer).status, CompletionStatus.Committed);
    }
    t.deepEqual(await readTexts(fleet, job.id), Array(3).fill('result'));
  });
}

for (const cancelFirst of [true, false]) {
  test(`either a cancel or a concurrent completion wins, cancel first: ${cancelFirst}`, async (t) => {
    const { fleet, job, first } = await setUp(3);
    const [grant] = await requestChunks(fleet, 0);
    const completion = await createCompletion(fleet.vms[2]!, grant!);
    const steps = [
      () => fleet.vms[1]!.jobs.cancel(job.id),
      () => first.owner.completeChunk(completion),
    ];
    if (!cancelFirst) steps.reverse();
    const replies = await runFor(fleet.timer, Promise.all(steps.map((step) => step())));
    t.true(replies.every((reply) => reply.isOk()));
    const stored = await readJob(fleet, job.id);
    const hasResult = stored.chunks[0]!.result !== undefined;
    t.is(hasResult, stored.status === JobStatus.Completed);
    const status = hasResult ? CompletionStatus.Committed : CompletionStatus.Rejected;
    const again = await runFor(fleet.timer, first.owner.completeChunk(completion));
    t.is(getValue(again).status, status);
  });
}

test('a progress report is answered with a stop within a second after a cancel on another VM', async (t) => {
  const { fleet, job } = await setUp(3);
  const [grant] = await requestChunks(fleet, 0);
  t.deepEqual(getValue(await report(fleet, 0, grant!)).verdicts, [ProgressDecision.Continue]);
  // Drops the reply to the notice; the owner's watch reports the cancel as well.
  fleet.network.lostReplies.add(PeerMethod.NotifyJobChanged);
  void fleet.vms[1]!.jobs.cancel(job.id);
  await fleet.timer.advance(1000);
  t.deepEqual(getValue(await report(fleet, 0, grant!)).verdicts, [ProgressDecision.Stop]);
  t.deepEqual(await requestChunks(fleet, 0), []);
});

test('a job that was cancelled stops although its owner cannot read the record', async (t) => {
  const { fleet, job, first } = await setUp(3);
  const [grant] = await requestChunks(fleet, 0);
  first.client.faults.reachability = Reachability.Refusing;
  void fleet.vms[1]!.jobs.cancel(job.id);
  await fleet.timer.advance(500);
  t.deepEqual(getValue(await report(fleet, 0, grant!)).verdicts, [ProgressDecision.Stop]);
});

test('a new owner lets executors continue with the grants of the old owner', async (t) => {
  const { fleet } = await setUp(3);
  const [grant] = await requestChunks(fleet, 0);
  fleet.shards.assignOwner('vm-1');
  await fleet.timer.advance(500);
  t.deepEqual(await requestChunks(fleet, OTHER_VM), []);
  t.deepEqual(getValue(await report(fleet, OTHER_VM, grant!)).verdicts, [
    ProgressDecision.Continue,
  ]);
  await fleet.timer.advance(1500);
  t.deepEqual(await requestChunks(fleet, OTHER_VM), []);
});

test('commits of one job are written at most once a second, and at once when it ends', async (t) => {
  const { fleet, first } = await setUp(900);
  const grants = await requestChunks(fleet, 0, 900);
  t.is(grants.length, 5);
  const completions = await Promise.all(
    grants.map((grant) => createCompletion(fleet.vms[2]!, grant)),
  );
  const answers = [first.owner.completeChunk(completions[0]!)];
  await fleet.timer.advance(100);
  t.is(first.store.writes.length, 1);
  answers.push(...completions.slice(1, 4).map((one) => first.owner.completeChunk(one)));
  await fleet.timer.advance(800);
  t.is(first.store.writes.length, 1);
  await fleet.timer.advance(200);
  await Promise.all(answers);
  t.is(first.store.writes.length, 2);
  const last = first.owner.completeChunk(completions[4]!);
  t.is(getValue(await runFor(fleet.timer, last, 20)).status, CompletionStatus.Committed);
});

test('chunks of a paused job class are not granted; cancelling the class cancels its jobs', async (t) => {
  const { fleet, job } = await setUp(3, { jobClass: 'nightly' });
  const spec = { team: 'team-a', model: MODEL, dueInMs: 1, maxAttempts: 1 };
  fleet.configuration.set(RecordKind.Job, 'nightly', { ...spec, control: JobControl.Paused });
  t.deepEqual(await requestChunks(fleet, 0), []);
  fleet.configuration.set(RecordKind.Job, 'nightly', { ...spec, control: JobControl.Running });
  t.is((await requestChunks(fleet, 0)).length, 1);
  fleet.configuration.set(RecordKind.Job, 'nightly', { ...spec, control: JobControl.Cancelled });
  await fleet.timer.advance(1000);
  t.is((await readJob(fleet, job.id)).status, JobStatus.Cancelled);
});

test('an ended job is removed after the retention time, an open one is kept', async (t) => {
  const { fleet, job } = await setUp(3);
  await runFor(fleet.timer, fleet.vms[1]!.jobs.cancel(job.id));
  const open = fleet.vms[1]!.jobs.submit(
    createSubmission(createItems(3), { idempotencyKey: 'key-2' }),
  );
  const { job: kept } = getValue(await runFor(fleet.timer, open));
  await fleet.timer.advance(RETENTION_MS / 2);
  t.is((await readJob(fleet, job.id)).status, JobStatus.Cancelled);
  await fleet.timer.advance(RETENTION_MS);
  const listed = getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.list('team-a')));
  t.deepEqual(
    listed.map(({ id }) => id),
    [kept.id],
  );
});
