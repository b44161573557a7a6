/** One randomised run: steps under faults, then the end of all faults and the final checks. */
import { HostState } from '@jujubelanding/simulation';
import type { Log } from '@jujubelanding/log';
import { STEP_HANDLERS } from './actions/index.js';
import { fetchResults } from './actions/batch.js';
import {
  healLinks,
  restoreWorkers,
  startEntryVm,
  restoreStore,
  restoreWeightStore,
} from './actions/faults.js';
import { checkRecords } from './actions/operators.js';
import { JobPhase, type TrackedJob } from './job-tracker.js';
import type { Mutation } from './mutation.js';
import { createSteps, StepKind, type Step } from './step.js';
import { Invariant, type Violation } from './violation.js';
import { ENTRY_VM_COUNT } from './fleet-layout.js';
import { SoakHarness } from './soak-harness.js';

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

const MAX_TRACE_LINES = 20;

/** Longest lease, takeover and repair after the faults have ended. */
const RECOVERY_MS = 60_000;

const COMPLETION_TIMEOUT_MS = 600_000;

const COMPLETION_CHECK_INTERVAL_MS = 10_000;

/** Ample for a read without faults. */
const READ_TIMEOUT_MS = 1000;

/** Bound on the time until an accepted configuration is in force everywhere. */
const CONFIGURATION_PROPAGATION_MS = 4000;

const describeStep = (world: SoakHarness, { kind, target, amount }: Step): string =>
  `t=${Math.round(world.fleet.timer.now())} step=${kind} target=${target} amount=${amount}`;

/** Ends all faults and starts all entry VMs again. */
const endFaults = async (world: SoakHarness): Promise<void> => {
  world.longFaults.end();
  restoreWeightStore(world);
  restoreStore(world);
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

const readJobResults = async (world: SoakHarness, job: TrackedJob): Promise<void> => {
  const node = world.listListeningNodes().find(({ host }) => host.state() === HostState.Running);
  if (node === undefined) return;
  const results = await fetchResults(world, node, job);
  if (results !== undefined) world.jobs.recordResults(job, results);
};

const isComplete = (job: TrackedJob): boolean =>
  job.phase !== JobPhase.Accepted || job.results.size === job.itemCount;

const awaitCompletion = async (world: SoakHarness): Promise<void> => {
  const end = world.fleet.timer.now() + COMPLETION_TIMEOUT_MS;
  for (;;) {
    const open = world.jobs.listAccepted().filter((job) => !isComplete(job));
    const reads = Promise.all(open.map((job) => readJobResults(world, job)));
    await world.fleet.advance(COMPLETION_CHECK_INTERVAL_MS);
    await reads;
    if (open.every(isComplete) || world.fleet.timer.now() > end) return;
  }
};

const checkJob = (world: SoakHarness, job: TrackedJob): void => {
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
const checkConfigurationPropagation = async (world: SoakHarness): Promise<void> => {
  const node = world.listListeningNodes()[0];
  if (node === undefined) return;
  const reply = world.administer(node, {
    method: 'PUT',
    path: '/admin/v1/records/version/final',
    body: JSON.stringify({ schemaVersion: 1, spec: { weight: 'final' }, expectedRevision: 0 }),
  });
  await world.fleet.advance(CONFIGURATION_PROPAGATION_MS);
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
const checkResultsReadable = async (world: SoakHarness): Promise<void> => {
  for (const job of world.jobs.listAccepted()) {
    const node = world.listListeningNodes()[0];
    if (node === undefined) return;
    const read = fetchResults(world, node, job);
    await world.fleet.advance(READ_TIMEOUT_MS);
    const results = await read;
    if (results !== undefined) world.jobs.recordResults(job, results);
    const missing = job.results.size - (results?.length ?? 0);
    if (missing <= 0) continue;
    const detail = `${missing} of ${job.results.size} results (id ${job.id})`;
    world.violations.report(Invariant.ResultsReadable, job.key, detail);
  }
};

/** Ends the faults and checks what must hold without them. */
const checkFinalState = async (world: SoakHarness): Promise<void> => {
  await endFaults(world);
  await awaitCompletion(world);
  world.jobs.listAccepted().forEach((job) => checkJob(world, job));
  world.copies.checkRecoverable();
  world.copies.checkRepaired();
  await checkResultsReadable(world);
  world.placementCheck.checkLoaded();
  await checkConfigurationPropagation(world);
};

const shouldStop = (world: SoakHarness, { stopAt }: RunOptions): boolean =>
  world.violations.list.some(({ invariant }) => invariant === stopAt);

/** Runs a seed to its end. */
export const runSeed = async (options: RunOptions): Promise<RunResult> => {
  const world = new SoakHarness(options);
  const trace: string[] = [];
  const rejections: unknown[] = [];
  const recordRejection = (reason: unknown): void => {
    rejections.push(reason);
    const detail = reason instanceof Error ? (reason.stack ?? reason.message) : String(reason);
    world.violations.report(Invariant.NoException, 'rejection', detail);
  };
  process.on('unhandledRejection', recordRejection);
  await world.start();
  for (const step of createSteps(options.seed, options.steps)) {
    if (world.violations.list.length === 0) trace.push(describeStep(world, step));
    if (trace.length > MAX_TRACE_LINES) trace.shift();
    if (shouldStop(world, options)) break;
    STEP_HANDLERS[step.kind](world, step);
    await world.fleet.advance(step.waitMs);
  }
  if (!shouldStop(world, options)) await checkFinalState(world);
  process.off('unhandledRejection', recordRejection);
  return {
    seed: options.seed,
    steps: options.steps,
    violations: world.violations.list,
    trace,
    virtualMs: world.fleet.timer.now(),
    acceptedJobs: world.jobs.listAccepted().length,
    resultsRead: world.jobs.jobs.reduce((sum, job) => sum + job.results.size, 0),
    submittedJobs: world.jobs.jobs.length,
    faults: Object.fromEntries(world.faultCounts),
    replies: Object.fromEntries(world.replyCounts),
  };
};
