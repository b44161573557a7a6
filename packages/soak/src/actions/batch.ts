/** Batch jobs of callers. */
import type { ItemResult } from '@jujubelanding/types';
import type { FleetNode } from '@jujubelanding/simulation';
import { ReplyKind } from '../caller.js';
import { JobPhase, type BookedJob } from '../job-book.js';
import { tagItem } from '../observer.js';
import type { Step } from '../step.js';
import { Invariant } from '../violation.js';
import { MODELS, type World } from '../world.js';

const MAX_ITEMS = 30;

const ITEM_TOKENS = 8;

/** Contained in the prompt of an item that the engines can never complete. */
const FAILURE_MARKER = '[[always-fails]]';

const FAILING_SHARE = 0.04;

const createJob = (world: World, { target, amount }: Step): BookedJob => {
  const key = `job-${world.jobs.jobs.length}`;
  const itemCount = 1 + (amount % MAX_ITEMS);
  const failingItems = new Set<number>();
  const lines: string[] = [];
  for (let index = 0; index < itemCount; index += 1) {
    const fails = world.random.next() < FAILING_SHARE;
    if (fails) failingItems.add(index);
    const content = `match sheet ${tagItem(key, index)}${fails ? FAILURE_MARKER : ''}`;
    const messages = [{ role: 'user', content }];
    lines.push(JSON.stringify({ itemId: `item-${index}`, messages, maxTokens: ITEM_TOKENS }));
  }
  const models = Object.values(MODELS);
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

const submit = async (world: World, node: FleetNode, job: BookedJob): Promise<void> => {
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
  world.jobs.confirm(job, (JSON.parse(reply.body) as { id: string }).id);
};

export const submitJob = (world: World, step: Step): void => {
  const node = world.chooseNode(step.target);
  if (node === undefined) return;
  const job = createJob(world, step);
  world.jobs.jobs.push(job);
  world.track(submit(world, node, job));
};

export const resendJob = (world: World, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const { jobs } = world.jobs;
  if (node === undefined || jobs.length === 0) return;
  world.track(submit(world, node, jobs[amount % jobs.length]!));
};

const cancel = async (world: World, node: FleetNode, job: BookedJob): Promise<void> => {
  if (job.phase === JobPhase.Accepted) job.phase = JobPhase.CancelRequested;
  const path = `/v1/batches/${job.id!}/cancel`;
  const reply = await world.send(node, { method: 'POST', path, headers: {} });
  if (reply.kind !== ReplyKind.Answered || reply.status >= 300) return;
  const { status } = JSON.parse(reply.body) as { status: string };
  if (status !== 'cancelled' || job.phase === JobPhase.Cancelled) return;
  job.phase = JobPhase.Cancelled;
  world.observer.cancelledAt.set(job.key, world.fleet.timer.now());
};

export const cancelJob = (world: World, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const jobs = world.jobs.accepted();
  if (node === undefined || jobs.length === 0) return;
  // Recent jobs are still open more often.
  const job = jobs[jobs.length - 1 - (amount % Math.min(3, jobs.length))]!;
  world.track(cancel(world, node, job));
};

/** Reads all results of a job so far; undefined when the VM could not answer. */
export const fetchResults = async (
  world: World,
  node: FleetNode,
  job: BookedJob,
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

const read = async (world: World, node: FleetNode, job: BookedJob): Promise<void> => {
  const results = await fetchResults(world, node, job);
  if (results !== undefined) world.jobs.readResults(job, results);
};

export const readResults = (world: World, { target, amount }: Step): void => {
  const node = world.chooseNode(target);
  const jobs = world.jobs.accepted();
  if (node === undefined || jobs.length === 0) return;
  world.track(read(world, node, jobs[amount % jobs.length]!));
};
