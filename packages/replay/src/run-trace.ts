/** Runs a trace on virtual time and compares its stated outcomes with what happened. */
import { HostState } from '@jujubelanding/simulation';
import { readFinalState } from './actions/jobs.js';
import { runEvent } from './actions/index.js';
import { checkExpectation } from './checks/index.js';
import type { Difference } from './checks/difference.js';
import type { Expectation } from './trace/expectations.js';
import type { Trace } from './trace/parse-trace.js';
import { ReplayHarness, type ReplayHarnessOptions } from './replay-harness.js';

/** Time in which state and results of all jobs are read after the end of a trace. */
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

const runEvents = async (world: ReplayHarness, { header, events }: Trace): Promise<void> => {
  for (const event of events) {
    await world.fleet.advance(event.at - world.now());
    world.events.set(event.id, event);
    runEvent(world, event);
  }
  await world.fleet.advance(header.durationMs - world.now());
};

/** Reads the end of all jobs through an entry VM that serves callers. */
const readFinalJobStates = async (world: ReplayHarness): Promise<void> => {
  const node = world.fleet
    .listLiveNodes()
    .find(({ host, entryVm }) => host.state() === HostState.Running && entryVm.isReady());
  if (node === undefined) return;
  const reads = [...world.jobs.values()].map((job) => readFinalState(world, node.host.id, job));
  await world.fleet.advance(FINAL_READ_TIMEOUT_MS);
  // A read without an answer by now leaves the job's end unknown, which is a difference.
  await Promise.race([Promise.all(reads), world.fleet.timer.flushPromises()]);
};

/** Replays a trace. */
export const runTrace = async (
  trace: Trace,
  options: ReplayHarnessOptions = {},
): Promise<ReplayResult> => {
  const world = new ReplayHarness(trace.header, options);
  await world.start();
  await runEvents(world, trace);
  await readFinalJobStates(world);
  const differences = trace.expectations.flatMap(({ line, expectation }) => {
    const difference = checkExpectation(world, expectation);
    return difference === undefined ? [] : [{ line, expectation, ...difference }];
  });
  return {
    name: trace.header.name,
    events: trace.events.length,
    expectations: trace.expectations.length,
    differences,
  };
};
