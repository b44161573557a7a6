import test from 'ava';
import { createItems, createJobFleet, createSubmission } from './fixtures/job-fleet.js';
import { getValue, runFor } from './fixtures/segment-fleet.js';

/** Shorter than the interval between two audits of copies. */
const SUBMIT_MS = 1000;

/** Makes vm-0 the owner of all shards and submits a job with one chunk. */
const setUp = async () => {
  const fleet = createJobFleet();
  fleet.shards.assignOwner('vm-0');
  const submitted = fleet.vms[2]!.jobs.submit(createSubmission(createItems(3)));
  const { job } = getValue(await runFor(fleet.timer, submitted, SUBMIT_MS));
  return { fleet, job };
};

test('copies on a lost disk VM are replaced and the record names the new VM', async (t) => {
  const { fleet, job } = await setUp();
  const lost = job.chunks[0]!.input.copies.find((id) => id !== 'vm-0')!;
  fleet.members.remove(lost);
  fleet.network.down.add(lost);
  await fleet.timer.advance(60_000);
  const stored = getValue(await runFor(fleet.timer, fleet.vms[0]!.jobs.get(job.id), 10));
  const { copies } = stored.chunks[0]!.input;
  t.false(copies.includes(lost));
  t.is(copies.length, 2);
  t.true(copies.every((id) => fleet.disks.get(id)!.paths().length === 1));
});

test('copies are restored on a VM that came back with an empty disk', async (t) => {
  const { fleet, job } = await setUp();
  await fleet.timer.advance(10_000);
  const holder = job.chunks[0]!.input.copies.find((id) => id !== 'vm-0');
  fleet.disks.get(holder!)!.dropAllFiles();
  fleet.restartStore(holder!);
  fleet.members.set({ ...fleet.members.all.get(holder!)!, bootId: 'boot-2' });
  await fleet.timer.advance(20_000);
  t.is(fleet.disks.get(holder!)!.paths().length, 1);
});

test('an unrecorded copy does not make the repair drop unreachable copies from the record', async (t) => {
  const fleet = createJobFleet();
  // vm-0 owns all shards and has a copy that no record names, as after a write whose reply was lost.
  fleet.shards.assignOwner('vm-0');
  fleet.members.set({ ...fleet.members.all.get('vm-0')!, hasDisk: false });
  const submission = createSubmission(createItems(3));
  const submitted = fleet.vms[0]!.jobs.submit(submission);
  const { input } = getValue(await runFor(fleet.timer, submitted)).job.chunks[0]!;
  t.deepEqual(input.copies.toSorted(), ['vm-1', 'vm-2']);
  fleet.members.set({ ...fleet.members.all.get('vm-0')!, hasDisk: true });
  const path = `segments/${input.id}`;
  const content = getValue(await fleet.disks.get('vm-1')!.read(path));
  await fleet.disks.get('vm-0')!.write(path, content);
  const unreachable = ['vm-1', 'vm-2'].map((id) => fleet.members.all.get(id)!);
  unreachable.forEach(({ entryVmId }) => fleet.members.remove(entryVmId));
  await fleet.timer.advance(60_000);
  unreachable.forEach((member) => fleet.members.set(member));
  await fleet.timer.advance(10_000);
  const stored = getValue(await runFor(fleet.timer, fleet.vms[0]!.jobs.list('team-a'), 10));
  const { copies } = stored[0]!.chunks[0]!.input;
  t.true(copies.length >= 2, copies.join());
});

test('a new owner restores a copy that was lost unnoticed under the former owner', async (t) => {
  const { fleet, job } = await setUp();
  await fleet.timer.advance(10_000);
  const holder = job.chunks[0]!.input.copies.find((id) => id !== 'vm-0')!;
  fleet.shards.assignOwner('vm-2');
  await fleet.timer.advance(10_000);
  fleet.disks.get(holder)!.dropAllFiles();
  fleet.restartStore(holder);
  fleet.shards.assignOwner('vm-0');
  await fleet.timer.advance(20_000);
  t.is(fleet.disks.get(holder)!.paths().length, 1);
});

test('a copy that was lost before the owner loaded the job is restored', async (t) => {
  const { fleet, job } = await setUp();
  const holder = job.chunks[0]!.input.copies.find((id) => id !== 'vm-0')!;
  fleet.disks.get(holder)!.dropAllFiles();
  fleet.restartStore(holder);
  await fleet.timer.advance(20_000);
  t.is(fleet.disks.get(holder)!.paths().length, 1);
});
