import { SubmitStatus, type JobStore, type SubmittedJob } from '@jujubelanding/batch-ledger';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { Admission } from '@jujubelanding/planned-stop';
import { RouteKind, type Route } from '@jujubelanding/route-table';
import { VirtualTimer } from '@jujubelanding/timer';
import test from 'ava';
import { ok } from 'neverthrow';
import { BatchJobApi } from './batch-job-api.js';

const CONFIGURATION_VERSION = 7;

const route: Route = {
  name: 'jobs',
  host: 'host',
  prefix: '/jobs/',
  kind: RouteKind.Batch,
  timeoutMs: 15_000,
  objectiveMs: 500,
  priority: 0,
  targets: [],
  maxAttempts: 3,
  isResumable: true,
};

// Guards against submissions that are refused from the first moment of a stop, because the time limit of
// the route's items is longer than a stop.
test('a stopping VM accepts a job that it can acknowledge in time, and refuses a later one', async (t) => {
  const timer = new VirtualTimer();
  const admission = new Admission({
    timer,
    log: silentLog,
    stopMs: 7500,
    callerDrainMs: 3300,
    readFleet: () => ({ servingVms: 1, stoppingSince: [] }),
  });
  const stored = new Map<string, object>();
  const accepted: SubmittedJob[] = [];
  const jobs: Pick<JobStore, 'submit'> = {
    submit: (job) => {
      accepted.push(job);
      return Promise.resolve(ok(SubmitStatus.Accepted));
    },
  };
  const api = new BatchJobApi({
    timer,
    log: silentLog,
    metrics: silentMetrics,
    jobs: jobs as JobStore,
    reader: { find: (jobId: string) => Promise.resolve(ok(stored.get(jobId))) } as never,
    requests: {} as never,
    acknowledgeMs: 4000,
    admission,
  });
  const submit = async (jobId: string) => {
    const submission = {
      jobId,
      host: 'host',
      target: '/jobs/1',
      items: [],
      caller: { isTeamRequired: false },
      configurationVersion: CONFIGURATION_VERSION,
    };
    return (await api.submit(submission, route, timer.now())).isOk();
  };
  admission.beginStop();
  t.true(await submit('early'));
  t.is(accepted[0]?.configurationVersion, CONFIGURATION_VERSION);
  await timer.advance(7600);
  t.false(await submit('late'));
  stored.set('known', { job: {} });
  t.true(await submit('known'), 'an earlier submission is stored and runs');
});
