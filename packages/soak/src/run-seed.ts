/** One randomised run: steps under faults, then the end of all faults and the final checks. */
import { HostState } from '@jujubelanding/simulation';
import type { Log } from '@jujubelanding/log';
import { ACTIONS } from './actions/index.js';
import { fetchResults } from './actions/batch.js';
import { healLinks, restoreWorkers, startEntryVm, storeUp, weightsUp } from './actions/faults.js';
import { checkRecords } from './actions/operators.js';
import { JobPhase, type BookedJob } from './job-book.js';
import type { Mutation } from './mutation.js';
import { createSteps, StepKind, type Step } from './step.js';
import { Invariant, type Violation } from './violation.js';
import { ENTRY_VM_COUNT } from './fleet-plan.js';
import { World } from './world.js';

export interface RunOptions {
  seed: number;
  steps: number;
  mutation?: Mutation;
  /** Ends the run at the first violation of this invariant. */
  stopAt?: Invariant;
  createLog?: (entryVmId: string) => (part: string) => Log;
}

export interface RunResult {
  seed: number;
  steps: number;
  violations: Violation[];
  /** Last steps before the first violation, oldest first. */
  trace: string[];
  virtualMs: number;
  acceptedJobs: number;
  resultsRead: number;
  submittedJobs: number;
  /** Rare faults and events by kind. */
  faults: Record<string, number>;
  /** Replies to callers and operators by how they ended. */
  replies: Record<string, number>;
}

const TRACE_LENGTH = 20;

/** Longest lease, takeover and repair after the faults have ended. */
const RECOVERY_MS = 60_000;

const COMPLETION_LIMIT_MS = 600_000;

const COMPLETION_CHECK_MS = 10_000;

/** Ample for a read without faults. */
const READ_MS = 1000;

/** Bound on the time until an accepted configuration is in force everywhere. */
const CONFIGURATION_BOUND_MS = 4000;

const describeStep = (world: World, { kind, target, amount }: Step): string =>
  `t=${Math.round(world.fleet.timer.now())} step=${kind} target=${target} amount=${amount}`;

/** Ends all faults and starts all entry VMs again. */
const recover = async (world: World): Promise<void> => {
  world.longFaults.end();
  weightsUp(world);
  storeUp(world);
  healLinks(world);
  restoreWorkers(world);
  world.fleet.listLiveNodes().forEach(({ host }) => host.resume());
  await world.fleet.advance(RECOVERY_MS);
  for (let target = 0; target < ENTRY_VM_COUNT; target += 1) {
    startEntryVm(world, { kind: StepKind.StartEntryVm, target: 0, amount: 0, waitMs: 0 });
  }
  healLinks(world);
  world.fleet.listLiveNodes().forEach(({ host }) => host.resume());
  await world.fleet.advance(RECOVERY_MS);
};

const readJob = async (world: World, job: BookedJob): Promise<void> => {
  const node = world.listening().find(({ host }) => host.state() === HostState.Running);
  if (node === undefined) return;
  const results = await fetchResults(world, node, job);
  if (results !== undefined) world.jobs.readResults(job, results);
};

const isComplete = (job: BookedJob): boolean =>
  job.phase !== JobPhase.Accepted || job.results.size === job.itemCount;

const awaitCompletion = async (world: World): Promise<void> => {
  const end = world.fleet.timer.now() + COMPLETION_LIMIT_MS;
  for (;;) {
    const open = world.jobs.accepted().filter((job) => !isComplete(job));
    const reads = Promise.all(open.map((job) => readJob(world, job)));
    await world.fleet.advance(COMPLETION_CHECK_MS);
    await reads;
    if (open.every(isComplete) || world.fleet.timer.now() > end) return;
  }
};

const checkJob = (world: World, job: BookedJob): void => {
  if (!isComplete(job)) {
    const detail = `${job.results.size} of ${job.itemCount} results (id ${job.id})`;
    world.violations.report(Invariant.Completion, job.key, detail);
  }
  for (const [index, text] of job.results) {
    const { status } = JSON.parse(text) as { status: string };
    const expected = job.failingItems.has(index) ? 'failed' : 'succeeded';
    // Any item may fail after bounded attempts under faults; a failing one can't succeed.
    if (expected === 'failed' && status !== expected) {
      world.violations.report(Invariant.ResultOnce, job.key, `item ${index} ended as ${status}`);
    }
  }
};

/** Writes a record without faults and checks that it's in force everywhere within the bound. */
const checkSpread = async (world: World): Promise<void> => {
  const node = world.listening()[0];
  if (node === undefined) return;
  const reply = world.administer(node, {
    method: 'PUT',
    path: '/admin/v1/records/version/final',
    body: JSON.stringify({ schemaVersion: 1, spec: { weight: 'final' }, expectedRevision: 0 }),
  });
  await world.fleet.advance(CONFIGURATION_BOUND_MS);
  const { status, body } = await reply;
  if (status >= 300) {
    world.violations.report(Invariant.ConfigurationEverywhere, 'final', `refused: ${body}`);
    return;
  }
  const { revision } = JSON.parse(body) as { revision: number };
  for (const { host, entryVm } of world.fleet.listLiveNodes()) {
    const active = entryVm.components.configuration.activeRevision();
    if (active < revision) {
      const detail = `revision ${active} in force instead of ${revision}`;
      world.violations.report(Invariant.ConfigurationEverywhere, host.id, detail);
    }
  }
  checkRecords(world, node);
};

/** Reads all results again; those of jobs that ended long ago must still be there. */
const checkReadable = async (world: World): Promise<void> => {
  for (const job of world.jobs.accepted()) {
    const node = world.listening()[0];
    if (node === undefined) return;
    const read = fetchResults(world, node, job);
    await world.fleet.advance(READ_MS);
    const results = await read;
    if (results !== undefined) world.jobs.readResults(job, results);
    const missing = job.results.size - (results?.length ?? 0);
    if (missing <= 0) continue;
    const detail = `${missing} of ${job.results.size} results (id ${job.id})`;
    world.violations.report(Invariant.ResultsReadable, job.key, detail);
  }
};

/** Ends the faults and checks what must hold without them. */
const checkEnd = async (world: World): Promise<void> => {
  await recover(world);
  await awaitCompletion(world);
  world.jobs.accepted().forEach((job) => checkJob(world, job));
  world.copies.checkRecoverable();
  world.copies.checkRepaired();
  await checkReadable(world);
  world.placement.checkLoaded();
  await checkSpread(world);
};

const isStopped = (world: World, { stopAt }: RunOptions): boolean =>
  world.violations.list.some(({ invariant }) => invariant === stopAt);

/** Runs a seed to its end. */
export const runSeed = async (options: RunOptions): Promise<RunResult> => {
  const world = new World(options);
  const trace: string[] = [];
  const rejections: unknown[] = [];
  const noteRejection = (reason: unknown): void => {
    rejections.push(reason);
    const detail = reason instanceof Error ? (reason.stack ?? reason.message) : String(reason);
    world.violations.report(Invariant.NoException, 'rejection', detail);
  };
  process.on('unhandledRejection', noteRejection);
  await world.start();
  for (const step of createSteps(options.seed, options.steps)) {
    if (world.violations.list.length === 0) trace.push(describeStep(world, step));
    if (trace.length > TRACE_LENGTH) trace.shift();
    if (isStopped(world, options)) break;
    ACTIONS[step.kind](world, step);
    await world.fleet.advance(step.waitMs);
  }
  if (!isStopped(world, options)) await checkEnd(world);
  process.off('unhandledRejection', noteRejection);
  return {
    seed: options.seed,
    steps: options.steps,
    violations: world.violations.list,
    trace,
    virtualMs: world.fleet.timer.now(),
    acceptedJobs: world.jobs.accepted().length,
    resultsRead: world.jobs.jobs.reduce((sum, job) => sum + job.results.size, 0),
    submittedJobs: world.jobs.jobs.length,
    faults: Object.fromEntries(world.faultCounts),
    replies: Object.fromEntries(world.replies),
  };
};
