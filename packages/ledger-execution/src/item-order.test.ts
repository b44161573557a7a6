import test from 'ava';
import { computeEffectiveDueAt, RunTimeEstimator } from './item-order.js';

interface Item {
  dueAt: number;
  events: number;
}

const EVENTS = 200;
const MS_PER_EVENT = 25;
const RUN_MS = EVENTS * MS_PER_EVENT;

/** Runs items one after another in the given order; returns how many finish by their due time. */
const countInTime = (
  items: readonly Item[],
  order: (item: Item, now: number) => number,
): number => {
  const waiting = [...items];
  let now = 0;
  let inTime = 0;
  const compare = (a: Item, b: Item): number => order(a, now) - order(b, now);
  while (waiting.length > 0) {
    const { dueAt, events } = waiting.sort(compare).shift()!;
    now += (EVENTS - events) * MS_PER_EVENT;
    if (now <= dueAt) inTime += 1;
  }
  return inTime;
};

// In the backlog after an outage, ordering by due time alone made every item late, since each one waited
// for the late items before it.
test('after an outage, items that can still finish in time run before those that cannot', (t) => {
  const estimate = new RunTimeEstimator();
  estimate.recordRun(EVENTS, RUN_MS);
  estimate.recordItem(EVENTS);
  // Ten items arrived while no slot was free; each is due 18 s after its arrival.
  const items = Array.from({ length: 10 }, (_, index) => ({ dueAt: index * 3000, events: 0 }));
  const inTimeByDue = countInTime(items, ({ dueAt }) => dueAt);
  const inTimeByEffectiveDue = countInTime(items, ({ dueAt, events }, now) =>
    computeEffectiveDueAt(dueAt, now, estimate.remainingMs(events)),
  );
  t.is(inTimeByDue, 0);
  t.is(inTimeByEffectiveDue, 5);
});

test('no item counts as late before a run was recorded, and short runs do not change the estimate', (t) => {
  const estimate = new RunTimeEstimator();
  estimate.recordRun(2, 4000);
  estimate.recordItem(EVENTS);
  t.is(estimate.remainingMs(0), 0);
  estimate.recordRun(100, 2500);
  t.is(estimate.remainingMs(0), RUN_MS);
  t.is(estimate.remainingMs(EVENTS + 10), 0);
});

test('late items keep their order among themselves', (t) => {
  const late = [100, 300, 200].map((dueAt) => computeEffectiveDueAt(dueAt, 1000, 0));
  t.deepEqual(
    late.toSorted((a, b) => a - b),
    [late[0], late[2], late[1]],
  );
  t.true(computeEffectiveDueAt(5000, 1000, 0) < late[0]!);
});
