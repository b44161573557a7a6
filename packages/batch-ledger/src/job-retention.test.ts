import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import {
  ItemState,
  JobRetention,
  JobStore,
  JobTable,
  JobTransactions,
  KeySpace,
  SCHEMA_VERSION,
  type Job,
} from './index.js';

const RETENTION_MS = 120_000;

const setUp = () => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1), timeoutMs: 700 });
  const store = service.createClient('one');
  const keys = new KeySpace('jj/', 'jd/');
  const table = new JobTable(keys, silentLog);
  const leaseId = () => undefined;
  const transactions = new JobTransactions({
    store,
    keys,
    applyOwn: (changes) => table.apply(changes),
    leaseId,
    onLeaseEnded: () => {},
  });
  const self = { entryVmId: 'one', bootId: 'boot' };
  const jobs = new JobStore({ store, transactions, timer, keys, table, self, leaseId });
  const retention = new JobRetention({
    store,
    transactions,
    timer,
    log: silentLog,
    keys,
    table,
    self: 'one',
    listServing: () => [],
    retentionMs: RETENTION_MS,
  });
  const job: Job = {
    schemaVersion: SCHEMA_VERSION,
    id: 'job-1',
    host: 'a.example',
    target: '/jobs/1',
    submittedAt: timer.wallClock(),
    dueMs: 18_000,
    itemLifetimeMs: 60_000,
    maxAttempts: 3,
    items: Array.from({ length: 40 }, (_, index) => ({
      id: `i${index}`,
      target: '/x',
      headers: {},
      body: '',
      tokens: 1,
    })),
  };
  const run = async <T>(call: Promise<T>): Promise<T> => {
    await timer.advance(100);
    return call;
  };
  const listKeys = async (): Promise<string[]> => {
    const page = await run(store.list('j'));
    return page.isOk() ? page.value.entries.map(({ key }) => key) : [];
  };
  return { timer, table, jobs, job, retention, run, listKeys };
};

const finish = async ({ jobs, table, job, run }: ReturnType<typeof setUp>): Promise<void> => {
  await run(jobs.submit(job, Infinity));
  for (let first = 0; first < job.items.length; first += 20) {
    const results = Array.from({ length: 20 }, (_, index) => ({
      itemIndex: first + index,
      state: ItemState.Completed,
      output: 'text',
    }));
    await run(jobs.list(table.find(job.id)!, results));
  }
};

// Guards against a store that fills with the results of all jobs that ever ran.
test('a finished job is removed with its results after its retention, and not before', async (t) => {
  const world = setUp();
  await finish(world);
  world.retention.start();
  await world.timer.advance(RETENTION_MS);
  t.is((await world.listKeys()).length, 42);
  await world.timer.advance(80_000);
  t.deepEqual(await world.listKeys(), []);
  t.is(world.table.find('job-1'), undefined);
});

test('an open job is kept however old it is', async (t) => {
  const world = setUp();
  await world.run(world.jobs.submit(world.job, Infinity));
  world.retention.start();
  await world.timer.advance(RETENTION_MS * 3);
  t.is((await world.listKeys()).length, 2);
});
