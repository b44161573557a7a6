import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { Reachability } from '@jujubelanding/stand-ins';
import { JobStatus } from '@jujubelanding/types';
import {
  WriteFault,
  createItems,
  createJobFleet,
  createSubmission,
  type JobFleet,
} from './fixtures/job-fleet.js';
import { getFault, getValue, runFor } from './fixtures/segment-fleet.js';
import { createReferenceReader, parseItems } from './index.js';

const readItemIds = async (fleet: JobFleet, jobId: string): Promise<string[]> => {
  const [vm] = fleet.vms.slice(-1);
  const job = getValue(await runFor(fleet.timer, vm!.jobs.get(jobId)));
  const ids: string[] = [];
  for (const { input } of job.chunks) {
    const content = getValue(await runFor(fleet.timer, vm!.segments.read(input)));
    ids.push(...getValue(parseItems(content)).map(({ itemId }) => itemId));
  }
  return ids;
};

const listRecords = (fleet: JobFleet) =>
  fleet.keyValue.state.list('jobs/').entries.map(({ value }) => value);

test('an accepted job has all items in order, in chunks whose size grows with the job', async (t) => {
  const fleet = createJobFleet();
  const items = createItems(5000);
  const { job, resent } = getValue(
    await runFor(fleet.timer, fleet.vms[0]!.jobs.submit(createSubmission(items))),
  );
  t.false(resent);
  t.true(job.chunks.every((chunk) => chunk.itemCount >= 200));
  t.deepEqual(
    await readItemIds(fleet, job.id),
    items.map(({ itemId }) => itemId),
  );
});

for (const fault of [WriteFault.LostBefore, WriteFault.LostAfter]) {
  for (const at of [0, 1]) {
    test(`a VM ${fault} write ${at} of acceptance leaves one complete job after the resend`, async (t) => {
      const fleet = createJobFleet();
      const items = createItems(300);
      fleet.vms[0]!.store.faults = [{ at, fault }];
      void fleet.vms[0]!.jobs.submit(createSubmission(items));
      await fleet.timer.advance(5000);
      fleet.network.down.add('vm-0');
      fleet.members.remove('vm-0');
      const again = fleet.vms[1]!.jobs.submit(createSubmission(items));
      const { job, resent } = getValue(await runFor(fleet.timer, again));
      t.is(resent, fault === WriteFault.LostAfter && at === 1);
      t.is(listRecords(fleet).length, 1);
      t.is(new Set(await readItemIds(fleet, job.id)).size, 300);
    });
  }
}

test('a lost reply to the record write is resolved by reading the record back', async (t) => {
  const fleet = createJobFleet();
  fleet.vms[0]!.store.faults = [{ at: 1, fault: WriteFault.ReplyLost }];
  const submitted = fleet.vms[0]!.jobs.submit(createSubmission(createItems(3)));
  t.false(getValue(await runFor(fleet.timer, submitted)).resent);
  t.is(listRecords(fleet).length, 1);
});

test('concurrent submissions of the same job on two VMs create one job', async (t) => {
  const fleet = createJobFleet();
  const submissions = [0, 1].map((index) =>
    fleet.vms[index]!.jobs.submit(createSubmission(createItems(300))),
  );
  const results = (await runFor(fleet.timer, Promise.all(submissions))).map(getValue);
  t.is(results.filter(({ resent }) => resent).length, 1);
  t.deepEqual(results[0]!.job, results[1]!.job);
});

test('other content under the same key is refused and changes nothing', async (t) => {
  const fleet = createJobFleet();
  const submit = (text: string) =>
    runFor(fleet.timer, fleet.vms[0]!.jobs.submit(createSubmission(createItems(3, text))));
  getValue(await submit('first'));
  const before = listRecords(fleet);
  t.is(getFault(await submit('other')).code, FaultCode.KeyReused);
  t.true(getValue(await submit('first')).resent);
  t.deepEqual(listRecords(fleet), before);
});

test('without the key-value service a job is refused as not-run', async (t) => {
  const fleet = createJobFleet();
  fleet.vms[0]!.client.faults.reachability = Reachability.Refusing;
  const fault = getFault(
    await runFor(fleet.timer, fleet.vms[0]!.jobs.submit(createSubmission(createItems(3)))),
  );
  t.is(fault.outcome, Outcome.NotRun);
});

test('an empty job, too many items and full disks are refused as not-run', async (t) => {
  const fleet = createJobFleet();
  const submit = async (count: number, change: object) =>
    getFault(
      await runFor(
        fleet.timer,
        fleet.vms[0]!.jobs.submit(createSubmission(createItems(count), change)),
      ),
    );
  t.is((await submit(0, {})).code, FaultCode.InvalidInput);
  t.is((await submit(3, { maxItems: 2 })).code, FaultCode.TooLarge);
  fleet.disks.forEach((disk) => disk.setCapacity(0));
  t.is((await submit(3, {})).outcome, Outcome.NotRun);
  t.deepEqual(listRecords(fleet), []);
});

test('segments of a recorded job are listed as referenced on their holders only', async (t) => {
  const fleet = createJobFleet();
  const submitted = fleet.vms[0]!.jobs.submit(createSubmission(createItems(3)));
  const { job } = getValue(await runFor(fleet.timer, submitted));
  for (const { id, client } of fleet.vms) {
    const page = getValue(await runFor(fleet.timer, createReferenceReader(client, id)()));
    t.is(page.segmentIds.length, job.chunks[0]!.input.copies.includes(id) ? 1 : 0);
  }
});

test('a cancelled job is cancelled for every VM, also when cancelled again', async (t) => {
  const fleet = createJobFleet();
  const submitted = fleet.vms[0]!.jobs.submit(createSubmission(createItems(3)));
  const { job } = getValue(await runFor(fleet.timer, submitted));
  fleet.vms[1]!.store.faults = [{ at: 0, fault: WriteFault.ReplyLost }];
  const first = getValue(await runFor(fleet.timer, fleet.vms[1]!.jobs.cancel(job.id)));
  const second = getValue(await runFor(fleet.timer, fleet.vms[2]!.jobs.cancel(job.id)));
  t.is(first.status, JobStatus.Cancelled);
  t.deepEqual(second, first);
  const [listed] = getValue(await runFor(fleet.timer, fleet.vms[0]!.jobs.list('team-a')));
  t.is(listed?.status, JobStatus.Cancelled);
});
