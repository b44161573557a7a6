/** Steps in which callers submit, resend, cancel and read batch jobs. */
import type { ItemResult } from '@jujubelanding/types';
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind } from '../caller.js';
import { JobPhase, type TrackedJob } from '../job-tracker.js';
import { tagItem } from '../observer.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import { MODEL_BY_SERVICE } from '../fleet-layout.js';
import type { SoakHarness } from '../soak-harness.js';

const MAX_JOB_ITEMS = 30;

const ITEM_TOKENS = 8;

/** Keeps all workers of a model busy for more than ten seconds. */
const LONG_JOB_ITEMS = 90;

const LONG_JOB_ITEM_TOKENS = 24;

/** Marks the prompt of an item that the engines always fail. */
const FAILURE_MARKER = '[[always-fails]]';

const FAILING_ITEM_RATIO = 0.04;

const createJob = (
  harness: SoakHarness,
  target: number,
  itemCount: number,
  maxTokens: number,
): TrackedJob => {
  const key = `job-${harness.jobs.jobs.length}`;
  const failingItems = new Set<number>();
  const lines: string[] = [];
  for (let index = 0; index < itemCount; index += 1) {
    const fails = harness.random.next() < FAILING_ITEM_RATIO;
    if (fails) failingItems.add(index);
    const content = `match sheet ${tagItem(key, index)}${fails ? FAILURE_MARKER : ''}`;
    const messages = [{ role: 'user', content }];
    lines.push(JSON.stringify({ itemId: `item-${index}`, messages, maxTokens }));
  }
  const models = Object.values(MODEL_BY_SERVICE);
  const model = models[target % models.length]!;
  return {
    key,
    model,
    itemCount,
    failingItems,
    phase: JobPhase.Unconfirmed,
    body: lines.join('\n'),
    results: new Map(),
  };
};

const sendSubmission = async (
  harness: SoakHarness,
  node: FleetNode,
  job: TrackedJob,
): Promise<void> => {
  const reply = await harness.send(node, {
    method: 'POST',
    path: `/v1/batches?model=${job.model}`,
    headers: { 'content-type': 'application/x-ndjson', 'idempotency-key': job.key },
    body: job.body,
  });
  if (reply.kind !== ReplyKind.Answered || reply.status >= 300) {
    if (reply.status === 409) {
      harness.violations.report(
        Invariant.ResendSame,
        job.key,
        `the submission was refused as a conflict: ${reply.body}`,
      );
    }
    return;
  }
  harness.jobs.recordAcceptance(job, (JSON.parse(reply.body) as { id: string }).id);
};

const submitNewJob = (
  harness: SoakHarness,
  target: number,
  itemCount: number,
  maxTokens: number,
): void => {
  const node = harness.chooseNode(target);
  if (node === undefined) return;
  const job = createJob(harness, target, itemCount, maxTokens);
  harness.jobs.jobs.push(job);
  harness.trackRequest(sendSubmission(harness, node, job));
};

export const submitJob = (harness: SoakHarness, { target, amount }: Step): void =>
  submitNewJob(harness, target, 1 + (amount % MAX_JOB_ITEMS), ITEM_TOKENS);

/** Submits a job that is still running after a fault has lasted longer than a lease. */
export const submitLongJob = (harness: SoakHarness, { target }: Step): void =>
  submitNewJob(harness, target, LONG_JOB_ITEMS, LONG_JOB_ITEM_TOKENS);

export const resendJob = (harness: SoakHarness, { target, amount }: Step): void => {
  const node = harness.chooseNode(target);
  const { jobs } = harness.jobs;
  if (node === undefined || jobs.length === 0) return;
  harness.trackRequest(sendSubmission(harness, node, jobs[amount % jobs.length]!));
};

const sendCancel = async (
  harness: SoakHarness,
  node: FleetNode,
  job: TrackedJob,
): Promise<void> => {
  if (job.phase === JobPhase.Accepted) job.phase = JobPhase.CancelRequested;
  const path = `/v1/batches/${job.id!}/cancel`;
  const reply = await harness.send(node, { method: 'POST', path, headers: {} });
  if (reply.kind !== ReplyKind.Answered || reply.status >= 300) return;
  const { status } = JSON.parse(reply.body) as { status: string };
  if (status !== 'cancelled' || job.phase === JobPhase.Cancelled) return;
  job.phase = JobPhase.Cancelled;
  harness.observer.cancelledAtByJob.set(job.key, harness.fleet.timer.now());
};

export const cancelJob = (harness: SoakHarness, { target, amount }: Step): void => {
  const node = harness.chooseNode(target);
  const jobs = harness.jobs.listAccepted();
  if (node === undefined || jobs.length === 0) return;
  // Picks one of the last three jobs, which are more likely to be still open.
  const job = jobs[jobs.length - 1 - (amount % Math.min(3, jobs.length))]!;
  harness.trackRequest(sendCancel(harness, node, job));
};

/** Reads all results available so far; returns undefined when the entry VM gives no successful response. */
export const fetchResults = async (
  harness: SoakHarness,
  node: FleetNode,
  job: TrackedJob,
): Promise<ItemResult[] | undefined> => {
  const reply = await harness.send(node, {
    method: 'GET',
    path: `/v1/batches/${job.id!}/results`,
    headers: {},
  });
  if (reply.status === 404) {
    harness.violations.report(
      Invariant.AcceptedKept,
      job.key,
      `${node.host.id} reports that the job does not exist`,
    );
  }
  if (reply.kind !== ReplyKind.Answered || reply.status !== 200) return undefined;
  return reply.body
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as ItemResult);
};

const readAndRecordResults = async (
  harness: SoakHarness,
  node: FleetNode,
  job: TrackedJob,
): Promise<void> => {
  const results = await fetchResults(harness, node, job);
  if (results !== undefined) harness.jobs.recordResults(job, results);
};

export const readResults = (harness: SoakHarness, { target, amount }: Step): void => {
  const node = harness.chooseNode(target);
  const jobs = harness.jobs.listAccepted();
  if (node === undefined || jobs.length === 0) return;
  harness.trackRequest(readAndRecordResults(harness, node, jobs[amount % jobs.length]!));
};
