// Guards against texts that are joined from the events of independent runs. A VM that executed a job without
// having read its stored progress took the deltas of another owner for its own.
import test from 'ava';
import { createJob, createJobTestSetup } from '@jujubelanding/batch-ledger/fixtures';
import { silentLog } from '@jujubelanding/log';
import { ChangeKind } from '@jujubelanding/platform';
import { OwnedJobs } from './owned-jobs.js';

const JOB_ID = 'job-1';

const LEASE_MS = 60_000;

/** Longer than a call with a lost reply, and than the delays of a takeover. */
const TAKEOVER_MS = 6000;

const TICK_MS = 100;

const setUp = async () => {
  const { timer, service, run, createVm } = createJobTestSetup();
  const createExecutingVm = async (name: string) => {
    const client = service.createClient(name);
    const lease: { id: string | undefined } = { id: undefined };
    const grantLease = async (): Promise<void> => {
      const granted = await run(client.grantLease(LEASE_MS));
      lease.id = granted.isOk() ? granted.value.leaseId : undefined;
    };
    await grantLease();
    const vm = createVm(name, () => lease.id);
    const ownedJobs = new OwnedJobs({
      ...vm,
      timer,
      log: silentLog,
      loads: { listServing: () => ['one', 'two'] },
      bootIdOf: () => undefined,
      self: { entryVmId: name, bootId: `boot-${name}` },
      onOpened: () => {},
    });
    const follow = (): void => {
      const { entries } = service.state.list('jj/');
      const hasOwner = entries.some(({ key }) => key === vm.keys.owner(JOB_ID));
      const kind = ChangeKind.Delete;
      const gone = { kind, entry: { key: vm.keys.owner(JOB_ID), value: '', modRevision: 0 } };
      vm.table.apply([
        ...entries.map((entry) => ({ kind: ChangeKind.Put, entry })),
        ...(hasOwner ? [] : [gone]),
      ]);
    };
    /** Runs the VM for a time, with or without the changes of others. */
    const play = async (durationMs: number, isFollowing = true): Promise<void> => {
      for (let elapsed = 0; elapsed < durationMs; elapsed += TICK_MS) {
        if (isFollowing) follow();
        ownedJobs.tick();
        await timer.advance(TICK_MS);
      }
    };
    const findItem = () => ownedJobs.list()[0]?.items.get(0);
    const addEvents = (...texts: string[]): void => {
      const { progress } = findItem()!;
      progress.events.push(...texts);
      progress.lastEventId = String(progress.events.length);
    };
    const readEvents = () => findItem()?.progress.events;
    const loseLease = (): void => {
      service.state.endLease(lease.id!);
    };
    return { ...vm, ownedJobs, play, addEvents, readEvents, grantLease, loseLease };
  };
  const one = await createExecutingVm('one');
  const two = await createExecutingVm('two');
  await run(one.jobs.submit(createJob(['a'], timer.wallClock()), timer.now() + 1000));
  await one.play(TICK_MS);
  const readStored = async () => {
    const read = await run(createVm('reader').progress.read(JOB_ID));
    return read.unwrapOr(undefined)?.progress['0']?.events;
  };
  return { timer, run, one, two, readStored };
};

test('a VM resumes the stored progress even if the reply to its takeover is lost', async (t) => {
  const { run, one, two, readStored } = await setUp();
  one.addEvents('1 of one', '2 of one');
  await run(one.ownedJobs.release());
  two.store.faults.lostReplyChance = 1;
  await two.play(TICK_MS, true);
  await two.play(TAKEOVER_MS, false);
  two.store.faults.lostReplyChance = 0;
  await two.play(TAKEOVER_MS);
  t.deepEqual(two.readEvents(), ['1 of one', '2 of one']);
  two.addEvents('3 of two');
  await run(two.ownedJobs.release());
  t.deepEqual(await readStored(), ['1 of one', '2 of one', '3 of two']);
});

test('a VM that regains a job goes on with the progress that another owner stored meanwhile', async (t) => {
  const { run, one, two, readStored } = await setUp();
  one.addEvents('1 of one', '2 of one');
  one.loseLease();
  await two.play(TAKEOVER_MS);
  two.addEvents('1 of two', '2 of two');
  await run(two.ownedJobs.release());
  await one.grantLease();
  one.addEvents('3 of one');
  await one.play(TAKEOVER_MS);
  t.deepEqual(one.readEvents(), ['1 of two', '2 of two']);
  one.addEvents('3 of one');
  await one.play(TAKEOVER_MS);
  t.deepEqual(await readStored(), ['1 of two', '2 of two', '3 of one']);
});

test('a VM that regains a job keeps its progress if no other owner stored any', async (t) => {
  const { one, readStored } = await setUp();
  one.addEvents('1');
  await one.play(TAKEOVER_MS);
  one.addEvents('2');
  one.loseLease();
  await one.grantLease();
  one.addEvents('3');
  await one.play(TAKEOVER_MS);
  t.deepEqual(one.readEvents(), ['1', '2', '3']);
  t.deepEqual(await readStored(), ['1', '2', '3']);
});
