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

/** Fixes `openChunks` in the owner's member entry, so that updates by the owner have no effect. */
const fixOpenChunks = (fleet: ExecutionFleet, openChunks: boolean | undefined): void => {
  const entry = { ...fleet.members.all.get('vm-0')!, openChunks };
  if (openChunks === undefined) delete entry.openChunks;
  fleet.members.set = () => {};
  fleet.members.all.set('vm-0', entry);
};

test('an owner without open chunks gets about two requests a minute', async (t) => {
  const fleet = createExecutionFleet();
  await fleet.timer.advance(5000);
  const before = countRequests(fleet);
  await fleet.timer.advance(600_000);
  const requests = countRequests(fleet) - before;
  t.true(requests >= 20 && requests <= 40, `${requests} requests`);
});

test('an owner that advertises open chunks gets a request at once', async (t) => {
  const fleet = createExecutionFleet();
  await fleet.timer.advance(HOUR_MS);
  const before = countRequests(fleet);
  await submit(fleet, createItems(100));
  await fleet.timer.advance(200);
  t.true(countRequests(fleet) > before);
  t.true(countExecutions(fleet) > 0);
});

// Guards against a job that never runs because the member entry of its owner is outdated.
test('a job of an owner whose member entry is outdated starts within 30 s', async (t) => {
  const fleet = createExecutionFleet();
  await fleet.timer.advance(60_000);
  fixOpenChunks(fleet, false);
  await submit(fleet, createItems(100));
  await fleet.timer.advance(30_500);
  t.is(countExecutions(fleet), 100);
});

test('an owner of an earlier version, which advertises nothing, gets about one request a second', async (t) => {
  const fleet = createExecutionFleet();
  fixOpenChunks(fleet, undefined);
  await fleet.timer.advance(10_000);
  const before = countRequests(fleet);
  await fleet.timer.advance(60_000);
  const requests = countRequests(fleet) - before;
  t.true(requests >= 60 && requests <= 120, `${requests} requests`);
});
