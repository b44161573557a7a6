import test from 'ava';
import { decideStop, StopStep, type StopState } from './index.js';

const GRACE_MS = 7500;
const DRAIN_MS = 3300;
const RESTART_MS = 1200;
const STEP_MS = 50;

const state: StopState = {
  elapsedMs: 0,
  deadlineMs: GRACE_MS,
  callerDrainMs: DRAIN_MS,
  isListening: true,
  requestsInProgress: 0,
  fleetVms: 8,
  remainingVms: 7,
};

test('a stopping VM serves until its callers have other addresses, and then ends', (t) => {
  t.is(decideStop({ ...state, elapsedMs: 3250 }), StopStep.Serve);
  t.is(decideStop({ ...state, elapsedMs: 3300 }), StopStep.CloseListener);
  const closed = { ...state, elapsedMs: 3350, isListening: false };
  t.is(decideStop({ ...closed, requestsInProgress: 1 }), StopStep.Serve);
  t.is(decideStop(closed), StopStep.Exit);
});

test('a stopping VM stays while less than half of the fleet would be left', (t) => {
  const short = { ...state, elapsedMs: 5000, remainingVms: 3 };
  t.is(decideStop(short), StopStep.Serve);
  t.is(decideStop({ ...short, elapsedMs: 7000 }), StopStep.CloseListener);
  t.is(decideStop({ ...short, elapsedMs: 7500, isListening: false }), StopStep.Exit);
});

/** Returns the smallest number of VMs that listen at any time, if the VMs stop at the given times. */
const countLeast = (stopTimes: readonly number[]): number => {
  const closedAt = new Map<number, number>();
  let least = Infinity;
  const isBack = (vm: number, now: number) =>
    closedAt.has(vm) && now >= closedAt.get(vm)! + RESTART_MS;
  for (let now = 0; now < 20_000; now += STEP_MS) {
    const others = (self: number) => [...stopTimes.keys()].filter((vm) => vm !== self);
    const isServing = (vm: number) => now < stopTimes[vm]! || isBack(vm, now);
    const stopsAfter = (vm: number, self: number) =>
      stopTimes[vm]! > stopTimes[self]! || (stopTimes[vm] === stopTimes[self] && vm > self);
    stopTimes.forEach((stoppedAt, vm) => {
      if (now < stoppedAt || closedAt.has(vm)) return;
      const step = decideStop({
        ...state,
        elapsedMs: now - stoppedAt,
        fleetVms: stopTimes.length,
        remainingVms: others(vm).filter((other) => isServing(other) || stopsAfter(other, vm))
          .length,
      });
      if (step !== StopStep.Serve) closedAt.set(vm, now);
    });
    const listening = [...stopTimes.keys()].filter((vm) => !closedAt.has(vm) || isBack(vm, now));
    least = Math.min(least, listening.length);
  }
  return least;
};

// Guards against a site without any VM: each VM stayed as long as it could, and all ended together.
test('half of the fleet accepts requests at any time, however its VMs are stopped', (t) => {
  const pairs = [0, 0, 880, 880, 1760, 1760, 2640, 2640];
  const series = {
    'two at a time': pairs,
    'one at a time': [0, 300, 600, 900, 1200, 1500, 1800, 2100],
    'all at once': Array.from({ length: 8 }, () => 0),
    'three at a time': [0, 0, 0, 600, 600, 600, 1200, 1200],
    'far apart': pairs.map((at) => at * 3),
  };
  t.snapshot(Object.entries(series).map(([name, times]) => `${name}: ${countLeast(times)}`));
  Object.values(series).forEach((times) => t.true(countLeast(times) >= 4));
});
