import test from 'ava';
import {
  DatagramKind,
  type ChunkGrant,
  type Datagram,
  type ListedGrant,
} from '@jujubelanding/peer-protocol';
import { MODEL, createItems, createJobFleet, createSubmission } from './fixtures/job-fleet.js';
import { getValue, runFor } from './fixtures/segment-fleet.js';

const EXECUTOR = 'vm-2';

const setUp = async () => {
  const fleet = createJobFleet();
  fleet.shards.assignOwner('vm-0');
  const submitted = fleet.vms[1]!.jobs.submit(createSubmission(createItems(300)));
  const { job } = getValue(await runFor(fleet.timer, submitted));
  const request = { shard: 0, executorId: EXECUTOR, models: [MODEL], slots: 300 };
  const reply = fleet.vms[0]!.owner.requestChunk(request);
  const { grants } = getValue(await runFor(fleet.timer, reply, 10));
  const received: Datagram[] = [];
  const { network } = fleet.vms[2]!.io;
  network.handleDatagram(DatagramKind.ProgressAnswer, (answer) => received.push(answer));
  network.handleDatagram(DatagramKind.GrantStop, (stop) => received.push(stop));
  let sequence = 0;
  const notify = async (list: number, listed?: ListedGrant[], to = 'vm-0'): Promise<Datagram> => {
    sequence += 1;
    network.send(`${to}:1`, {
      kind: DatagramKind.ProgressNotice,
      from: EXECUTOR,
      sequence,
      list,
      ...(listed === undefined ? {} : { grants: listed }),
    });
    await fleet.timer.advance(10);
    return received.at(-1)!;
  };
  return { fleet, job, grants, notify, received };
};

const toListedGrant = ({ shard, jobId, chunk, grantId }: ChunkGrant): ListedGrant => [
  shard,
  jobId,
  chunk,
  grantId,
];

test('a notice without a list extends the previously listed grants', async (t) => {
  const { fleet, grants, notify } = await setUp();
  t.like(await notify(7, grants.map(toListedGrant)), { sequence: 1 });
  for (let second = 0; second < 10; second += 1) {
    await fleet.timer.advance(1000);
    t.deepEqual(await notify(7), {
      kind: DatagramKind.ProgressAnswer,
      from: 'vm-0',
      sequence: second + 2,
    });
  }
  const request = { shard: 0, executorId: 'vm-1', models: [MODEL], slots: 300 };
  const reply = fleet.vms[0]!.owner.requestChunk(request);
  t.deepEqual(getValue(await runFor(fleet.timer, reply, 10)).grants, []);
});

// Guards against an owner that has restarted or missed a list, and evaluates an outdated one.
test('the owner requests a list that it does not have', async (t) => {
  const { grants, notify } = await setUp();
  t.like(await notify(7), { isListMissing: true });
  await notify(7, grants.map(toListedGrant));
  t.like(await notify(8), { isListMissing: true });
});

test('an owner stops grants that it has replaced and does not evaluate grants of other shards', async (t) => {
  const { fleet, grants, notify } = await setUp();
  await fleet.timer.advance(3000);
  const request = { shard: 0, executorId: 'vm-1', models: [MODEL], slots: 1 };
  const reply = fleet.vms[0]!.owner.requestChunk(request);
  t.is(getValue(await runFor(fleet.timer, reply, 10)).grants.length, 1);
  const answer = await notify(1, grants.map(toListedGrant));
  t.like(answer, { stopped: [0] });
  t.false('unjudged' in answer);
  t.like(await notify(1, grants.map(toListedGrant), 'vm-1'), { unjudged: [0, 1] });
});

test('after a cancel on another VM the owner notifies the executor at once', async (t) => {
  const { fleet, job, grants, received } = await setUp();
  await runFor(fleet.timer, fleet.vms[1]!.jobs.cancel(job.id), 100);
  t.deepEqual(received, [
    {
      kind: DatagramKind.GrantStop,
      from: 'vm-0',
      grantIds: grants.map(({ grantId }) => grantId),
    },
  ]);
});
