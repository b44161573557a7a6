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

// Guards against the loss of all entry VMs at once, after which every item began again from nothing.
test('the next owner knows all that was stored, and each event is stored once', (t) => {
  const progress: JobProgress = {};
  const parts = new ProgressDeltaBuilder();
  const stored = [3, 0, 5].map((count) => {
    advance(progress, '0', count);
    advance(progress, '1', 2);
    const part = parts.create(progress)!;
    parts.markStored(part);
    return part;
  });
  t.is(parts.create(progress), undefined);
  t.deepEqual(mergeDeltas(stored), progress);
  const events = stored.flatMap(({ items }) => Object.values(items).flatMap((item) => item.events));
  t.is(events.length, new Set(events).size);
  t.snapshot(stored);
});

test('a part that is not confirmed is created again with what has come since', (t) => {
  const progress: JobProgress = {};
  const parts = new ProgressDeltaBuilder();
  advance(progress, '0', 2);
  parts.create(progress);
  advance(progress, '0', 1);
  t.deepEqual(parts.create(progress)?.items['0']?.events, ['0-1', '0-2', '0-3']);
});

test('a next owner continues the parts of the one before', (t) => {
  const progress: JobProgress = {};
  const first = new ProgressDeltaBuilder();
  advance(progress, '0', 4);
  const part = first.create(progress)!;
  first.markStored(part);
  const inherited = mergeDeltas([part]);
  const second = new ProgressDeltaBuilder(inherited, first.sequence);
  advance(inherited, '0', 2);
  const next = second.create(inherited)!;
  t.is(second.sequence, 1);
  t.deepEqual(mergeDeltas([part, next]), inherited);
});

test('an item ends where a part of it is missing, so that no event is left out', (t) => {
  const progress: JobProgress = {};
  const parts = new ProgressDeltaBuilder();
  const stored = [2, 2, 2].map((count) => {
    advance(progress, '0', count);
    const part = parts.create(progress)!;
    parts.markStored(part);
    return part;
  });
  const joined = mergeDeltas([stored[0]!, stored[2]!]);
  t.deepEqual(joined['0'], { events: ['0-1', '0-2'], lastEventId: '2', failures: 0 });
});
