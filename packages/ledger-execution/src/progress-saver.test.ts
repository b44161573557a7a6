import test from 'ava';
import { SaveStatus } from '@jujubelanding/batch-ledger';
import { createJob, createJobTestSetup } from '@jujubelanding/batch-ledger/fixtures';
import { silentLog } from '@jujubelanding/log';
import { OwnedJob } from './owned-job.js';
import { ProgressSaver } from './progress-saver.js';
import type { ResultQueue } from './result-queue.js';

const SAVE_MS = 1500;

const EMPTY_RESULT_QUEUE = { has: () => false } as unknown as ResultQueue;

const setUp = async () => {
  const { timer, service, run, createVm } = createJobTestSetup();
  const createVmWithLease = async (name: string) => {
    const granted = await run(service.createClient(name).grantLease(60_000));
    return createVm(name, () => (granted.isOk() ? granted.value.leaseId : undefined));
  };
  const one = await createVmWithLease('one');
  const two = await createVmWithLease('two');
  await run(one.jobs.submit(createJob(['a', 'b']), timer.now() + 1000));
  const snapshot = one.table.find('job-1')!;
  const progress = { progress: {}, sequence: 0 };
  const ownedJob = new OwnedJob('job-1', 18_000, EMPTY_RESULT_QUEUE, snapshot, progress, []);
  const saver = new ProgressSaver({ timer, log: silentLog, ownedJob, ...one });
  return { timer, run, one, two, ownedJob, saver };
};

const addEvents = (ownedJob: OwnedJob, texts: readonly string[]): void => {
  const { progress } = ownedJob.items.get(0)!;
  progress.events.push(...texts);
  progress.lastEventId = String(progress.events.length);
};

test('progress is stored every second and a half, and the next owner reads it', async (t) => {
  const { timer, run, two, ownedJob, saver } = await setUp();
  addEvents(ownedJob, ['1', '2']);
  await run(saver.saveIfDue());
  t.deepEqual((await run(two.progress.read('job-1'))).unwrapOr(undefined)?.progress, {});
  await timer.advance(SAVE_MS);
  await run(saver.saveIfDue());
  addEvents(ownedJob, ['3']);
  await timer.advance(SAVE_MS);
  await run(saver.saveIfDue());
  const read = (await run(two.progress.read('job-1'))).unwrapOr(undefined);
  t.deepEqual(read, {
    progress: { 0: { events: ['1', '2', '3'], lastEventId: '3', failures: 0 } },
    sequence: 2,
  });
});

// When the store's reply is lost, the delta must be neither stored twice nor dropped.
test('a delta whose reply is lost is stored once', async (t) => {
  const { timer, run, one, two, ownedJob, saver } = await setUp();
  addEvents(ownedJob, ['1']);
  await timer.advance(SAVE_MS);
  one.store.faults.lostReplyChance = 1;
  await run(saver.saveIfDue(), 1000);
  one.store.faults.lostReplyChance = 0;
  addEvents(ownedJob, ['2']);
  for (let round = 0; round < 2; round += 1) {
    await timer.advance(SAVE_MS);
    await run(saver.saveIfDue());
  }
  const read = (await run(two.progress.read('job-1'))).unwrapOr(undefined);
  t.deepEqual(read?.progress['0']?.events, ['1', '2']);
});

test('a former owner cannot store progress', async (t) => {
  const { timer, run, one, two, ownedJob, saver } = await setUp();
  const snapshot = one.table.find('job-1')!;
  await run(one.progress.release(snapshot, 0, undefined));
  await run(two.jobs.read('job-1'));
  await run(two.jobs.takeOwnership(two.table.find('job-1')!));
  addEvents(ownedJob, ['late']);
  await timer.advance(SAVE_MS);
  await run(saver.saveIfDue());
  t.deepEqual((await run(two.progress.read('job-1'))).unwrapOr(undefined)?.progress, {});
});

// A delta of another owner under the same number was taken for the own one, whose reply had been lost.
test('a delta of another owner does not count as saved', async (t) => {
  const { run, one, two } = await setUp();
  const createDelta = (text: string) => ({
    schemaVersion: 1 as const,
    items: { 0: { from: 0, events: [text], failures: 0 } },
  });
  await run(two.jobs.read('job-1'));
  await run(one.progress.release(one.table.find('job-1')!, 0, createDelta('of one')));
  await run(two.jobs.takeOwnership({ ...two.table.find('job-1')!, ownerRevision: 0 }));
  const save = two.progress.save(two.table.find('job-1')!, 0, createDelta('of two'));
  t.is((await run(save)).unwrapOr(undefined), SaveStatus.OwnerChanged);
  const again = two.progress.save(two.table.find('job-1')!, 0, createDelta('of one'));
  t.is((await run(again)).unwrapOr(undefined), SaveStatus.Saved);
});

test('a planned stop stores the remaining progress with the release', async (t) => {
  const { run, two, ownedJob, saver } = await setUp();
  addEvents(ownedJob, ['1', '2']);
  t.true(await run(saver.release()));
  const read = (await run(two.progress.read('job-1'))).unwrapOr(undefined);
  t.deepEqual(read?.progress['0']?.events, ['1', '2']);
});
