import test from 'ava';
import { JobControl, RecordKind } from '@jujubelanding/types';
import {
  MODEL,
  createItems,
  createJobFleet,
  createSubmission,
  type JobFleet,
} from './fixtures/job-fleet.js';
import { getValue, runFor } from './fixtures/segment-fleet.js';
import { GRANT_TIMEOUT_MS, WITHDRAWAL_DELAY_MS } from './index.js';

const UPDATE_INTERVAL_MS = 1000;

const setUp = async (change: object = {}) => {
  const fleet = createJobFleet();
  fleet.shards.assignOwner('vm-0');
  await fleet.timer.advance(5000);
  const submitted = fleet.vms[1]!.jobs.submit(createSubmission(createItems(3), change));
  const { job } = getValue(await runFor(fleet.timer, submitted, 50));
  return { fleet, job };
};

const showsOpenChunks = (fleet: JobFleet): boolean | undefined =>
  fleet.members.all.get('vm-0')!.openChunks;

const requestChunks = async (fleet: JobFleet) => {
  const request = { shard: 0, executorId: 'vm-2', models: [MODEL], slots: 10 };
  const reply = fleet.vms[0]!.owner.requestChunk(request);
  return getValue(await runFor(fleet.timer, reply, 10)).grants;
};

test('the member entry shows open chunks once a job is submitted, and none after its last chunk is granted', async (t) => {
  const { fleet } = await setUp();
  t.true(showsOpenChunks(fleet));
  t.is((await requestChunks(fleet)).length, 1);
  await fleet.timer.advance(WITHDRAWAL_DELAY_MS + UPDATE_INTERVAL_MS);
  t.false(showsOpenChunks(fleet));
});

// Guards against chunks of a lost executor that are never requested again.
test('the member entry shows open chunks again after a grant has timed out', async (t) => {
  const { fleet } = await setUp();
  await requestChunks(fleet);
  await fleet.timer.advance(WITHDRAWAL_DELAY_MS + UPDATE_INTERVAL_MS - 20);
  t.false(showsOpenChunks(fleet));
  await fleet.timer.advance(GRANT_TIMEOUT_MS - WITHDRAWAL_DELAY_MS + 20);
  t.true(showsOpenChunks(fleet));
});

test('the member entry shows no open chunks while the job class is paused', async (t) => {
  const { fleet } = await setUp({ jobClass: 'nightly' });
  const spec = { team: 'team-a', model: MODEL, dueInMs: 1, maxAttempts: 1 };
  fleet.configuration.set(RecordKind.Job, 'nightly', { ...spec, control: JobControl.Paused });
  await fleet.timer.advance(WITHDRAWAL_DELAY_MS + UPDATE_INTERVAL_MS);
  t.false(showsOpenChunks(fleet));
  fleet.configuration.set(RecordKind.Job, 'nightly', { ...spec, control: JobControl.Running });
  await fleet.timer.advance(UPDATE_INTERVAL_MS);
  t.true(showsOpenChunks(fleet));
});

test('after a change of owner only the entry of the new owner shows open chunks', async (t) => {
  const { fleet } = await setUp();
  fleet.shards.assignOwner('vm-1');
  await fleet.timer.advance(WITHDRAWAL_DELAY_MS + UPDATE_INTERVAL_MS);
  t.false(showsOpenChunks(fleet));
  t.true(fleet.members.all.get('vm-1')!.openChunks);
});
