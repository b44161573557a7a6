import test from 'ava';
import { PeerMethod } from '@jujubelanding/peer-protocol';
import {
  countExecutions,
  createExecutionFleet,
  submit,
  type ExecutionFleet,
} from './fixtures/execution-fleet.js';
import { createItems } from './fixtures/job-fleet.js';

const HOUR_MS = 3_600_000;

const countRequests = (fleet: ExecutionFleet): number =>
  fleet.network.calls.filter(({ method }) => method === PeerMethod.RequestChunk).length;

/** Makes the owner's entry say the same whatever the owner does. */
const fixEntry = (fleet: ExecutionFleet, openChunks: boolean | undefined): void => {
  const entry = { ...fleet.members.all.get('vm-0')!, openChunks };
  if (openChunks === undefined) delete entry.openChunks;
  fleet.members.set = () => {};
  fleet.members.all.set('vm-0', entry);
};

test('an owner without open chunks is asked about twice a minute', async (t) => {
  const fleet = createExecutionFleet();
  await fleet.timer.advance(5000);
  const before = countRequests(fleet);
  await fleet.timer.advance(600_000);
  const requests = countRequests(fleet) - before;
  t.true(requests >= 20 && requests <= 40, `${requests} requests`);
});

test('an owner that says that it has open chunks is asked at once', async (t) => {
  const fleet = createExecutionFleet();
  await fleet.timer.advance(HOUR_MS);
  const before = countRequests(fleet);
  await submit(fleet, createItems(100));
  await fleet.timer.advance(200);
  t.true(countRequests(fleet) > before);
  t.true(countExecutions(fleet) > 0);
});

// Guards against a job that is never run because its owner's entry is out of date.
test('a job of an owner whose entry is out of date starts within 30 s', async (t) => {
  const fleet = createExecutionFleet();
  await fleet.timer.advance(60_000);
  fixEntry(fleet, false);
  await submit(fleet, createItems(100));
  await fleet.timer.advance(30_500);
  t.is(countExecutions(fleet), 100);
});

test('an owner of an earlier version, whose entry says nothing, is asked once a second', async (t) => {
  const fleet = createExecutionFleet();
  fixEntry(fleet, undefined);
  await fleet.timer.advance(10_000);
  const before = countRequests(fleet);
  await fleet.timer.advance(60_000);
  const requests = countRequests(fleet) - before;
  t.true(requests >= 60 && requests <= 120, `${requests} requests`);
});
