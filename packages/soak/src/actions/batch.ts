/** Batch jobs of callers. */
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

/** Work for more than ten seconds on all workers of a model. */
const LONG_JOB_ITEMS = 90;

const LONG_JOB_ITEM_TOKENS = 24;

/** Contained in the prompt of an item that the engines can never complete. */
const FAILURE_MARKER = '[[always-fails]]';

const FAILING_ITEM_RATIO = 0.04;

const createJob = (
  world: SoakHarness,
  target: number,
  itemCount: number,
  maxTokens: number,
): TrackedJob => {
  const key = `job-${world.jobs.jobs.length}`;
  const failingItems = new Set<number>();
  const lines: string[] = [];
  for (let index = 0; index < itemCount; index += 1) {
    const fails = world.random.next() < FAILING_ITEM_RATIO;
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
  world: SoakHarness,
  node: FleetNode,
  job: TrackedJob,
): Promise<void> => {
  const reply = await world.send(node, {
    method: 'POST',
    path: `/v1/batches?model=${job.model}`,
    headers: { 'content-type': 'application/x-ndjson', 'idempotency-key': job.key },
    body: job.body,
  });
  if (reply.kind !== ReplyKind.Answered || reply.status >= 300) {
    if (reply.status === 409) {
      world.violations.report(Invariant.ResendSame, job.key, `conflict: ${reply.body}`);
    }
    return;
  }
  world.jobs.recordAcceptance(job, (JSON.parse(reply.body) as { id: string }).id);
};

const submitNew = (
  world: SoakHarness,
  target: number,
  itemCount: number,
  maxTokens: number,
): void => {
  const node = world.chooseNode(target);
  if (node === undefined) return;
  const job = createJob(world, target, itemCount, maxTokens);
  world.jobs.jobs.push(job);
  world.trackRequest(sendSubmission(world, node, job));
};

export const submitJob = (world: SoakHarness, { target, amount }: Step): void =>
  submitNew(world, target, 1 + (amount % MAX_JOB_ITEMS), ITEM_TOKENS);

/** Submits a job that is still in work when a fault has lasted for longer than a lease. */
export const submitLongJob = (world: SoakHarness, { target }: Step): void =>
  submitNew(world, target, LONG_JOB_ITEMS, LONG_JOB_ITEM_TOKENS);

export const resendJob = (world: SoakHarness, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const { jobs } = world.jobs;
  if (node === undefined || jobs.length === 0) return;
  world.trackRequest(sendSubmission(world, node, jobs[amount % jobs.length]!));
};

const sendCancel = async (world: SoakHarness, node: FleetNode, job: TrackedJob): Promise<void> => {
  if (job.phase === JobPhase.Accepted) job.phase = JobPhase.CancelRequested;
  const path = `/v1/batches/${job.id!}/cancel`;
  const reply = await world.send(node, { method: 'POST', path, headers: {} });
  if (reply.kind !== ReplyKind.Answered || reply.status >= 300) return;
  const { status } = JSON.parse(reply.body) as { status: string };
  if (status !== 'cancelled' || job.phase === JobPhase.Cancelled) return;
  job.phase = JobPhase.Cancelled;
  world.observer.cancelledAtByJob.set(job.key, world.fleet.timer.now());
};

export const cancelJob = (world: SoakHarness, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const jobs = world.jobs.listAccepted();
  if (node === undefined || jobs.length === 0) return;
  // Recent jobs are still open more often.
  const job = jobs[jobs.length - 1 - (amount % Math.min(3, jobs.length))]!;
  world.trackRequest(sendCancel(world, node, job));
};

/** Reads all results of a job so far; undefined when the VM could not answer. */
export const fetchResults = async (
  world: SoakHarness,
  node: FleetNode,
  job: TrackedJob,
): Promise<ItemResult[] | undefined> => {
  const reply = await world.send(node, {
    method: 'GET',
    path: `/v1/batches/${job.id!}/results`,
    headers: {},
  });
  if (reply.status === 404) {
    world.violations.report(Invariant.AcceptedKept, job.key, `${node.host.id} does not know it`);
  }
  if (reply.kind !== ReplyKind.Answered || reply.status !== 200) return undefined;
  return reply.body
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as ItemResult);
};

const readAndCompare = async (
  world: SoakHarness,
  node: FleetNode,
  job: TrackedJob,
): Promise<void> => {
  const results = await fetchResults(world, node, job);
  if (results !== undefined) world.jobs.recordResults(job, results);
};

export const readResults = (world: SoakHarness, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const jobs = world.jobs.listAccepted();
  if (node === undefined || jobs.length === 0) return;
  world.trackRequest(readAndCompare(world, node, jobs[amount % jobs.length]!));
};
