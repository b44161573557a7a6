/** Runs one seed: random steps with faults, then recovery and the final checks. */
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
  /** Last steps up to the first violation, oldest first. */
  trace: string[];
  virtualMs: number;
  acceptedJobs: number;
  resultsRead: number;
  submittedJobs: number;
  /** Number of rare faults and events by kind. */
  faults: Record<string, number>;
  /** Number of replies to callers and operators by outcome. */
  replies: Record<string, number>;
}

const MAX_TRACE_LINES = 20;

/** Covers the longest lease, takeover and repair after the faults have ended. */
const RECOVERY_MS = 60_000;

const COMPLETION_TIMEOUT_MS = 600_000;

const COMPLETION_CHECK_INTERVAL_MS = 10_000;

/** More than a read takes without faults. */
const READ_WAIT_MS = 1000;

/** Bound on the time until an accepted configuration is active on all entry VMs. */
const CONFIGURATION_PROPAGATION_MS = 4000;

const describeStep = (harness: SoakHarness, { kind, target, amount }: Step): string =>
  `t=${Math.round(harness.fleet.timer.now())} step=${kind} target=${target} amount=${amount}`;

/** Ends all faults and restarts all entry VMs. */
const endFaults = async (harness: SoakHarness): Promise<void> => {
  harness.longFaults.end();
  restoreWeightStore(harness);
  restoreStore(harness);
  healLinks(harness);
  restoreWorkers(harness);
  harness.fleet.listLiveNodes().forEach(({ host }) => host.resume());
  await harness.fleet.advance(RECOVERY_MS);
  for (let target = 0; target < ENTRY_VM_COUNT; target += 1) {
    startEntryVm(harness, { kind: StepKind.StartEntryVm, target: 0, amount: 0, waitMs: 0 });
  }
  healLinks(harness);
  harness.fleet.listLiveNodes().forEach(({ host }) => host.resume());
  await harness.fleet.advance(RECOVERY_MS);
};

const readJobResults = async (harness: SoakHarness, job: TrackedJob): Promise<void> => {
  const node = harness.listListeningNodes().find(({ host }) => host.state() === HostState.Running);
  if (node === undefined) return;
  const results = await fetchResults(harness, node, job);
  if (results !== undefined) harness.jobs.recordResults(job, results);
};

const isComplete = (job: TrackedJob): boolean =>
  job.phase !== JobPhase.Accepted || job.results.size === job.itemCount;

const awaitCompletion = async (harness: SoakHarness): Promise<void> => {
  const end = harness.fleet.timer.now() + COMPLETION_TIMEOUT_MS;
  for (;;) {
    const openJobs = harness.jobs.listAccepted().filter((job) => !isComplete(job));
    const reads = Promise.all(openJobs.map((job) => readJobResults(harness, job)));
    await harness.fleet.advance(COMPLETION_CHECK_INTERVAL_MS);
    await reads;
    if (openJobs.every(isComplete) || harness.fleet.timer.now() > end) return;
  }
};

const checkJob = (harness: SoakHarness, job: TrackedJob): void => {
  if (!isComplete(job)) {
    const detail = `only ${job.results.size} of ${job.itemCount} results were read (id ${job.id})`;
    harness.violations.report(Invariant.Completion, job.key, detail);
  }
  for (const [index, text] of job.results) {
    const { status } = JSON.parse(text) as { status: string };
    const expected = job.failingItems.has(index) ? 'failed' : 'succeeded';
    // Any item may fail when faults use up its attempts, but one that always fails can't succeed.
    if (expected === 'failed' && status !== expected) {
      harness.violations.report(
        Invariant.ResultOnce,
        job.key,
        `item ${index}, which always fails, ended as ${status}`,
      );
    }
  }
};

/** Writes a record without faults and checks that it becomes active everywhere within the bound. */
const checkConfigurationPropagation = async (harness: SoakHarness): Promise<void> => {
  const node = harness.listListeningNodes()[0];
  if (node === undefined) return;
  const reply = harness.administer(node, {
    method: 'PUT',
    path: '/admin/v1/records/version/final',
    body: JSON.stringify({ schemaVersion: 1, spec: { weight: 'final' }, expectedRevision: 0 }),
  });
  await harness.fleet.advance(CONFIGURATION_PROPAGATION_MS);
  const { status, body } = await reply;
  if (status >= 300) {
    harness.violations.report(
      Invariant.ConfigurationEverywhere,
      'final',
      `the write was refused: ${body}`,
    );
    return;
  }
  const { revision } = JSON.parse(body) as { revision: number };
  for (const { host, entryVm } of harness.fleet.listLiveNodes()) {
    const active = entryVm.components.configuration.activeRevision();
    if (active < revision) {
      const detail = `revision ${active} is active instead of ${revision}`;
      harness.violations.report(Invariant.ConfigurationEverywhere, host.id, detail);
    }
  }
  checkRecords(harness, node);
};

/** Reads all results again; those of jobs that ended long ago must still be readable. */
const checkResultsReadable = async (harness: SoakHarness): Promise<void> => {
  for (const job of harness.jobs.listAccepted()) {
    const node = harness.listListeningNodes()[0];
    if (node === undefined) return;
    const read = fetchResults(harness, node, job);
    await harness.fleet.advance(READ_WAIT_MS);
    const results = await read;
    if (results !== undefined) harness.jobs.recordResults(job, results);
    const missing = job.results.size - (results?.length ?? 0);
    if (missing <= 0) continue;
    const detail = `${missing} of ${job.results.size} results are missing (id ${job.id})`;
    harness.violations.report(Invariant.ResultsReadable, job.key, detail);
  }
};

/** Ends the faults and checks the invariants that hold without faults. */
const checkFinalState = async (harness: SoakHarness): Promise<void> => {
  await endFaults(harness);
  await awaitCompletion(harness);
  harness.jobs.listAccepted().forEach((job) => checkJob(harness, job));
  harness.copies.checkRecoverable();
  harness.copies.checkRepaired();
  await checkResultsReadable(harness);
  harness.placementCheck.checkLoaded();
  await checkConfigurationPropagation(harness);
};

const shouldStop = (harness: SoakHarness, { stopAt }: RunOptions): boolean =>
  harness.violations.list.some(({ invariant }) => invariant === stopAt);

/** Runs the steps of a seed and the final checks. */
export const runSeed = async (options: RunOptions): Promise<RunResult> => {
  const harness = new SoakHarness(options);
  const trace: string[] = [];
  const rejections: unknown[] = [];
  const recordRejection = (reason: unknown): void => {
    rejections.push(reason);
    const detail = reason instanceof Error ? (reason.stack ?? reason.message) : String(reason);
    harness.violations.report(Invariant.NoException, 'rejection', detail);
  };
  process.on('unhandledRejection', recordRejection);
  await harness.start();
  for (const step of createSteps(options.seed, options.steps)) {
    if (harness.violations.list.length === 0) trace.push(describeStep(harness, step));
    if (trace.length > MAX_TRACE_LINES) trace.shift();
    if (shouldStop(harness, options)) break;
    STEP_HANDLERS[step.kind](harness, step);
    await harness.fleet.advance(step.waitMs);
  }
  if (!shouldStop(harness, options)) await checkFinalState(harness);
  process.off('unhandledRejection', recordRejection);
  return {
    seed: options.seed,
    steps: options.steps,
    violations: harness.violations.list,
    trace,
    virtualMs: harness.fleet.timer.now(),
    acceptedJobs: harness.jobs.listAccepted().length,
    resultsRead: harness.jobs.jobs.reduce((sum, job) => sum + job.results.size, 0),
    submittedJobs: harness.jobs.jobs.length,
    faults: Object.fromEntries(harness.faultCounts),
    replies: Object.fromEntries(harness.replyCounts),
  };
};
