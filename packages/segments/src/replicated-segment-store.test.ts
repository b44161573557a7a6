import test from 'ava';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { ok } from 'neverthrow';
import { createNotRunFault } from './faults.js';
import { createSegmentFleet, getFault, getValue, runFor } from './fixtures/segment-fleet.js';
import {
  GARBAGE_GRACE_PERIOD_MS,
  GARBAGE_INTERVAL_MS,
  SCRUB_INTERVAL_MS,
  type ListReferences,
} from './index.js';

const CONTENT = Buffer.from('one item\n');

const writeOne = async (fleet: ReturnType<typeof createSegmentFleet>) =>
  getValue(await runFor(fleet.timer, fleet.stores.get('vm-0')!.write(CONTENT)));

const listHolders = (fleet: ReturnType<typeof createSegmentFleet>, id: string): string[] =>
  [...fleet.disks].filter(([, disk]) => disk.paths().includes(`segments/${id}`)).map(([vm]) => vm);

test('copies are placed in different availability zones', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'a', 'a', 'b'] });
  const reference = await writeOne(fleet);
  t.is(reference.copies.length, 2);
  t.true(reference.copies.includes('vm-3'));
  t.deepEqual(reference.copies.toSorted(), listHolders(fleet, reference.id));
});

test('a write with fewer than two copies is refused as not-run', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'b'] });
  fleet.disks.get('vm-1')!.setCapacity(0);
  const fault = getFault(await runFor(fleet.timer, fleet.stores.get('vm-0')!.write(CONTENT)));
  t.is(fault.outcome, Outcome.NotRun);
});

test('a full disk is replaced by another VM', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'b', 'c'] });
  const first = await writeOne(fleet);
  const full = first.copies[0]!;
  const other = createSegmentFleet({ zones: ['a', 'b', 'c'] });
  other.disks.get(full)!.setCapacity(0);
  const second = await writeOne(other);
  t.is(second.copies.length, 2);
  t.false(second.copies.includes(full));
});

test('a copy lost in a crash before its flush is not counted', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'b', 'c'] });
  const crashed = (await writeOne(createSegmentFleet({ zones: ['a', 'b', 'c'] }))).copies[1]!;
  fleet.disks.get(crashed)!.holdFlushes();
  const written = fleet.stores.get('vm-0')!.write(CONTENT);
  await fleet.timer.advance(10);
  fleet.disks.get(crashed)!.crash();
  const reference = getValue(await runFor(fleet.timer, written));
  t.false(reference.copies.includes(crashed));
  t.deepEqual(reference.copies.toSorted(), listHolders(fleet, reference.id));
});

test('a corrupt copy is never returned, is quarantined and replaced', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'b'] });
  const reference = await writeOne(fleet);
  fleet.disks.get('vm-0')!.corrupt(`segments/${reference.id}`);
  const content = await runFor(fleet.timer, fleet.stores.get('vm-0')!.read(reference));
  t.deepEqual(Buffer.from(getValue(content)), CONTENT);
  t.true(fleet.disks.get('vm-0')!.paths().includes(`quarantine/${reference.id}`));
  t.deepEqual(listHolders(fleet, reference.id), ['vm-0', 'vm-1']);
});

test('scrubbing finds and replaces a corrupt copy that is never read', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'b'] });
  const reference = await writeOne(fleet);
  fleet.disks.get('vm-1')!.corrupt(`segments/${reference.id}`);
  await fleet.timer.advance(2 * SCRUB_INTERVAL_MS);
  t.true(fleet.disks.get('vm-1')!.paths().includes(`quarantine/${reference.id}`));
  t.is(listHolders(fleet, reference.id).length, 2);
});

test('a read restores a copy that is missing on its VM', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'b'] });
  const reference = await writeOne(fleet);
  fleet.disks.get('vm-0')!.dropAllFiles();
  getValue(await runFor(fleet.timer, fleet.stores.get('vm-0')!.read(reference)));
  t.is(listHolders(fleet, reference.id).length, 2);
});

test('without any good copy a read fails instead of returning other content', async (t) => {
  const fleet = createSegmentFleet({ zones: ['a', 'b'] });
  const reference = await writeOne(fleet);
  fleet.disks.get('vm-0')!.corrupt(`segments/${reference.id}`);
  fleet.disks.get('vm-1')!.corrupt(`segments/${reference.id}`);
  const fault = getFault(await runFor(fleet.timer, fleet.stores.get('vm-1')!.read(reference)));
  t.is(fault.code, FaultCode.Unavailable);
});

test('garbage is removed after the grace period, referenced segments are kept', async (t) => {
  const referenced = new Set<string>();
  const listReferences = async () => ok({ segmentIds: [...referenced] });
  const fleet = createSegmentFleet({ zones: ['a', 'b'], listReferences });
  const garbage = await writeOne(fleet);
  const kept = getValue(
    await runFor(fleet.timer, fleet.stores.get('vm-0')!.write(Buffer.from('kept'))),
  );
  referenced.add(kept.id);
  await fleet.timer.advance(1.2 * GARBAGE_INTERVAL_MS);
  t.deepEqual(listHolders(fleet, garbage.id), []);
  t.is(listHolders(fleet, kept.id).length, 2);
});

test('a segment written again for a job not yet recorded is kept', async (t) => {
  const listReferences = async () => ok({ segmentIds: [] });
  const fleet = createSegmentFleet({ zones: ['a', 'b'], listReferences });
  const reference = await writeOne(fleet);
  for (
    let elapsed = 0;
    elapsed < 1.2 * GARBAGE_INTERVAL_MS;
    elapsed += GARBAGE_GRACE_PERIOD_MS / 2
  ) {
    await fleet.timer.advance(GARBAGE_GRACE_PERIOD_MS / 2);
    await writeOne(fleet);
  }
  t.is(listHolders(fleet, reference.id).length, 2);
});

test('a segment written again while references are read is kept', async (t) => {
  let passes = 0;
  let writeAgain = async (): Promise<unknown> => undefined;
  const listReferences: ListReferences = async (afterKey) => {
    if (afterKey !== undefined) return ok({ segmentIds: [] });
    passes += 1;
    await writeAgain();
    return ok({ segmentIds: [], nextKey: 'next' });
  };
  const fleet = createSegmentFleet({ zones: ['a', 'b'], listReferences });
  writeAgain = () => fleet.stores.get('vm-0')!.write(CONTENT);
  const reference = await writeOne(fleet);
  await fleet.timer.advance(1.2 * GARBAGE_INTERVAL_MS);
  t.true(passes > 0);
  t.is(listHolders(fleet, reference.id).length, 2);
});

test('nothing is removed while the references cannot be read', async (t) => {
  const fleet = createSegmentFleet({
    zones: ['a', 'b'],
    listReferences: async () => createNotRunFault(FaultCode.Unavailable, 'list', 'no response'),
  });
  const reference = await writeOne(fleet);
  await fleet.timer.advance(1.2 * GARBAGE_INTERVAL_MS);
  t.is(listHolders(fleet, reference.id).length, 2);
});
