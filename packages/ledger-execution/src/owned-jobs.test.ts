// Guards against items that run after the end of their job was acknowledged: a VM that was reading the
// progress of a job when it ended went on to execute it, and looked at unfinished jobs only.
import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { VirtualTimer } from '@jujubelanding/timer';
import type { JobSnapshot } from '@jujubelanding/batch-ledger';
import { ok } from 'neverthrow';
import { OwnedJobs, type OwnedJobsOptions } from './owned-jobs.js';

const READ_MS = 500;

const setUp = () => {
  const timer = new VirtualTimer();
  const self = { entryVmId: 'vm', bootId: 'boot' };
  const ledger = { schemaVersion: 1, isEnded: false, results: [] };
  const job = {
    id: 'job',
    items: [{ id: 'item', tokens: 1 }],
    submittedAt: 0,
    dueMs: 1000,
    itemLifetimeMs: 60_000,
  };
  const snapshot = { job, ledger, owner: self } as unknown as JobSnapshot;
  const ownedJobs = new OwnedJobs({
    timer,
    log: silentLog,
    table: {
      find: () => snapshot,
      listUnfinishedIds: () => (ledger.isEnded ? [] : [job.id]),
      onChange: () => ({ cancel: () => {} }),
    },
    jobs: {},
    progress: {},
    reader: {},
    requests: {
      read: async () => {
        await timer.sleep(READ_MS);
        return ok([{ target: '/', headers: {}, body: '' }]);
      },
    },
    loads: { listServing: () => [] },
    bootIdOf: () => undefined,
    self,
    onOpened: () => {},
  } as unknown as OwnedJobsOptions);
  return { timer, ledger, ownedJobs };
};

test('a job that ends while it is being opened is not executed', async (t) => {
  const { timer, ledger, ownedJobs } = setUp();
  ownedJobs.tick();
  await timer.advance(READ_MS / 2);
  ledger.isEnded = true;
  await timer.advance(READ_MS);
  t.is(ownedJobs.list().length, 0);
});

test('a job that is executed here is dropped once it has ended, even if no change was reported', async (t) => {
  const { timer, ledger, ownedJobs } = setUp();
  ownedJobs.tick();
  await timer.advance(READ_MS * 2);
  t.is(ownedJobs.list().length, 1);
  ledger.isEnded = true;
  ownedJobs.tick();
  t.is(ownedJobs.list().length, 0);
});
