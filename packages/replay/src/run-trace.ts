/** Runs a trace in virtual time and compares the expected outcomes with the actual ones. */
import { HostState } from '@jujubelanding/simulation';
import { readFinalState } from './actions/jobs.js';
import { runEvent } from './actions/index.js';
import { checkExpectation } from './checks/index.js';
import type { Difference } from './checks/difference.js';
import type { Expectation } from './trace/expectations.js';
import type { Trace } from './trace/parse-trace.js';
import { ReplayHarness, type ReplayHarnessOptions } from './replay-harness.js';

/** Time allowed for reading the status and results of all jobs after the end of a trace. */
const FINAL_READ_TIMEOUT_MS = 5000;

export interface LocatedDifference extends Difference {
  line: number;
  expectation: Expectation;
}

export interface ReplayResult {
  name: string;
  events: number;
  expectations: number;
  differences: LocatedDifference[];
}

const runEvents = async (harness: ReplayHarness, { header, events }: Trace): Promise<void> => {
  for (const event of events) {
    await harness.fleet.advance(event.at - harness.now());
    harness.events.set(event.id, event);
    runEvent(harness, event);
  }
  await harness.fleet.advance(header.durationMs - harness.now());
};

/** Reads the final status and results of all jobs through an entry VM that is ready. */
const readFinalJobStates = async (harness: ReplayHarness): Promise<void> => {
  const node = harness.fleet
    .listLiveNodes()
    .find(({ host, entryVm }) => host.state() === HostState.Running && entryVm.isReady());
  if (node === undefined) return;
  const reads = [...harness.jobs.values()].map((job) => readFinalState(harness, node.host.id, job));
  await harness.fleet.advance(FINAL_READ_TIMEOUT_MS);
  // A read that has no response by now leaves the status `unknown`, which is reported as a difference.
  await Promise.race([Promise.all(reads), harness.fleet.timer.flushPromises()]);
};

/** Replays a trace and checks its expectations. */
export const runTrace = async (
  trace: Trace,
  options: ReplayHarnessOptions = {},
): Promise<ReplayResult> => {
  const harness = new ReplayHarness(trace.header, options);
  await harness.start();
  await runEvents(harness, trace);
  await readFinalJobStates(harness);
  const differences = trace.expectations.flatMap(({ line, expectation }) => {
    const difference = checkExpectation(harness, expectation);
    return difference === undefined ? [] : [{ line, expectation, ...difference }];
  });
  return {
    name: trace.header.name,
    events: trace.events.length,
    expectations: trace.expectations.length,
    differences,
  };
};
