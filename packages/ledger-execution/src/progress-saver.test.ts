import test from 'ava';
import {
  JobStore,
  JobTable,
  JobTransactions,
  KeySpace,
  ProgressStore,
  SCHEMA_VERSION,
  type Job,
} from '@jujubelanding/batch-ledger';
import { silentLog } from '@jujubelanding/log';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { OwnedJob } from './owned-job.js';
import { ProgressSaver } from './progress-saver.js';
import type { ResultQueue } from './result-queue.js';

const SAVE_MS = 1500;

const NO_RESULTS = { has: () => false } as unknown as ResultQueue;

const job: Job = {
  schemaVersion: SCHEMA_VERSION,
  id: 'job-1',
  host: 'a.example',
  target: '/jobs/1',
  submittedAt: 0,
  dueMs: 18_000,
  itemLifetimeMs: 60_000,
  maxAttempts: 3,
  items: ['a', 'b'].map((id) => ({ id, target: '/x', headers: {}, body: '', tokens: 1 })),
};

const setUp = async () => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1), timeoutMs: 700 });
  const createVm = async (name: string) => {
    const store = service.createClient(name);
    const lease = store.grantLease(60_000);
    await timer.advance(20);
    const granted = await lease;
    const leaseId = () => (granted.isOk() ? granted.value.leaseId : undefined);
    const keys = new KeySpace('jj/', 'jd/');
    const table = new JobTable(keys, silentLog);
    const transactions = new JobTransactions({
      store,
      keys,
      applyOwn: (changes) => table.apply(changes),
      leaseId,
      onLeaseEnded: () => {},
    });
    const self = { entryVmId: name, bootId: `boot-${name}` };
    const jobs = new JobStore({ store, transactions, timer, keys, table, self, leaseId });
    const progress = new ProgressStore({ store, transactions, keys });
    return { store, table, jobs, progress };
  };
  const run = async <T>(call: Promise<T>, durationMs = 100): Promise<T> => {
    await timer.advance(durationMs);
    return call;
  };
  const one = await createVm('one');
  const two = await createVm('two');
  await run(one.jobs.submit(job, timer.now() + 1000));
  const owned = new OwnedJob('job-1', 18_000, NO_RESULTS, one.table.find('job-1')!, {
    progress: {},
    sequence: 0,
  });
  const saver = new ProgressSaver({ timer, log: silentLog, owned, ...one });
  return { timer, run, one, two, owned, saver };
};

const addEvents = (owned: OwnedJob, texts: readonly string[]): void => {
  const { progress } = owned.items.get(0)!;
  progress.events.push(...texts);
  progress.lastEventId = String(progress.events.length);
};

test('what has arrived is stored every second and a half, and the next owner reads it', async (t) => {
  const { timer, run, two, owned, saver } = await setUp();
  addEvents(owned, ['1', '2']);
  await run(saver.tick());
  t.deepEqual((await run(two.progress.read('job-1'))).unwrapOr(undefined)?.progress, {});
  await timer.advance(SAVE_MS);
  await run(saver.tick());
  addEvents(owned, ['3']);
  await timer.advance(SAVE_MS);
  await run(saver.tick());
  const read = (await run(two.progress.read('job-1'))).unwrapOr(undefined);
  t.deepEqual(read, {
    progress: { 0: { events: ['1', '2', '3'], lastEventId: '3', failures: 0 } },
    sequence: 2,
  });
});

// Guards against a part that is counted twice or lost when the store's answer is lost.
test('a part whose answer is lost is stored once', async (t) => {
  const { timer, run, one, two, owned, saver } = await setUp();
  addEvents(owned, ['1']);
  await timer.advance(SAVE_MS);
  one.store.faults.lostReplyChance = 1;
  await run(saver.tick(), 1000);
  one.store.faults.lostReplyChance = 0;
  addEvents(owned, ['2']);
  for (let round = 0; round < 2; round += 1) {
    await timer.advance(SAVE_MS);
    await run(saver.tick());
  }
  const read = (await run(two.progress.read('job-1'))).unwrapOr(undefined);
  t.deepEqual(read?.progress['0']?.events, ['1', '2']);
});

test('a former owner stores nothing more', async (t) => {
  const { timer, run, one, two, owned, saver } = await setUp();
  const known = one.table.find('job-1')!;
  await run(one.progress.release(known, 0, undefined));
  await run(two.jobs.read('job-1'));
  await run(two.jobs.take(two.table.find('job-1')!));
  addEvents(owned, ['late']);
  await timer.advance(SAVE_MS);
  await run(saver.tick());
  t.deepEqual((await run(two.progress.read('job-1'))).unwrapOr(undefined)?.progress, {});
});

test('a planned stop stores the rest with the release', async (t) => {
  const { run, two, owned, saver } = await setUp();
  addEvents(owned, ['1', '2']);
  t.true(await run(saver.release()));
  const read = (await run(two.progress.read('job-1'))).unwrapOr(undefined);
  t.deepEqual(read?.progress['0']?.events, ['1', '2']);
});
