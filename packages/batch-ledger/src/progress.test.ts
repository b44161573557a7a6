import test from 'ava';
import { mergeDeltas, ProgressDeltaBuilder, type JobProgress } from './index.js';

const advance = (progress: JobProgress, index: string, count: number): void => {
  const item = progress[index] ?? { events: [], failures: 0 };
  for (let added = 0; added < count; added += 1) {
    item.events.push(`${index}-${item.events.length + 1}`);
    item.lastEventId = String(item.events.length);
  }
  Object.assign(progress, { [index]: item });
};

// When all entry VMs fail at once, items must continue from stored progress instead of starting over.
test('the next owner reads all stored progress, and each event is stored once', (t) => {
  const progress: JobProgress = {};
  const builder = new ProgressDeltaBuilder();
  const stored = [3, 0, 5].map((count) => {
    advance(progress, '0', count);
    advance(progress, '1', 2);
    const delta = builder.create(progress)!;
    builder.markStored(delta);
    return delta;
  });
  t.is(builder.create(progress), undefined);
  t.deepEqual(mergeDeltas(stored), progress);
  const events = stored.flatMap(({ items }) => Object.values(items).flatMap((item) => item.events));
  t.is(events.length, new Set(events).size);
  t.snapshot(stored);
});

test('a delta that was not marked as stored is created again, with the events that arrived since', (t) => {
  const progress: JobProgress = {};
  const builder = new ProgressDeltaBuilder();
  advance(progress, '0', 2);
  builder.create(progress);
  advance(progress, '0', 1);
  t.deepEqual(builder.create(progress)?.items['0']?.events, ['0-1', '0-2', '0-3']);
});

test('the next owner continues the sequence of deltas of the previous owner', (t) => {
  const progress: JobProgress = {};
  const first = new ProgressDeltaBuilder();
  advance(progress, '0', 4);
  const delta = first.create(progress)!;
  first.markStored(delta);
  const inherited = mergeDeltas([delta]);
  const second = new ProgressDeltaBuilder(inherited, first.sequence);
  advance(inherited, '0', 2);
  const next = second.create(inherited)!;
  t.is(second.sequence, 1);
  t.deepEqual(mergeDeltas([delta, next]), inherited);
});

test('merging stops at a missing delta of an item, so that no event is skipped', (t) => {
  const progress: JobProgress = {};
  const builder = new ProgressDeltaBuilder();
  const stored = [2, 2, 2].map((count) => {
    advance(progress, '0', count);
    const delta = builder.create(progress)!;
    builder.markStored(delta);
    return delta;
  });
  const joined = mergeDeltas([stored[0]!, stored[2]!]);
  t.deepEqual(joined['0'], { events: ['0-1', '0-2'], lastEventId: '2', failures: 0 });
});
