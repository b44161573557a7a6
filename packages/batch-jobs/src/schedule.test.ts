import test from 'ava';
import { JobControl, JobStatus, type JobRecord } from '@jujubelanding/types';
import { MAX_VALUE_BYTES } from '@jujubelanding/platform';
import { computeChecksum } from '@jujubelanding/random';
import { mergeResults } from './merge-results.js';
import { createItems } from './fixtures/job-fleet.js';
import { getValue } from './fixtures/segment-fleet.js';
import { ChunkBuilder, chooseChunks, decodeJob, encodeJob, type OpenJob } from './index.js';

const createSegment = (name: string) => ({
  id: computeChecksum(name),
  bytes: 1_000_000,
  copies: ['entry-vm-00001', 'entry-vm-00002', 'entry-vm-00003'],
});

const createRecord = (id: string, sizes: number[], change: Partial<JobRecord> = {}): JobRecord => {
  let firstItem = 0;
  const chunks = sizes.map((itemCount, index) => {
    const input = createSegment(`${id}-${index}`);
    const chunk = { index, firstItem, itemCount, input, failedItems: 0 };
    firstItem += itemCount;
    return chunk;
  });
  return {
    id,
    team: 'team-a',
    idempotencyKey: 'key',
    model: 'base',
    maxAttempts: 4,
    digest: computeChecksum(id),
    status: JobStatus.Open,
    itemCount: firstItem,
    chunks,
    createdAt: 0,
    dueAt: 0,
    fence: 0,
    ...change,
  };
};

const createOpenJob = (record: JobRecord): OpenJob => ({
  record,
  revision: 1,
  grants: new Map(),
  finished: new Set(),
  grantableFrom: 0,
  isSuspended: false,
});

const choose = (jobs: OpenJob[], slots: number, weights: Record<string, number> = {}) =>
  chooseChunks(
    jobs,
    { models: ['base'], slots },
    { weightOf: (team) => weights[team] ?? 1, controlOf: () => JobControl.Running },
    0,
  ).map(({ job }) => job.record.id);

test('within a team the job with the earliest due time is served first', (t) => {
  const jobs = [
    createOpenJob(createRecord('later', [10, 10], { dueAt: 2 })),
    createOpenJob(createRecord('sooner', [10, 10], { dueAt: 1 })),
  ];
  t.deepEqual(choose(jobs, 30), ['sooner', 'sooner', 'later']);
});

test('teams share chunks by weight, regardless of due times', (t) => {
  const sizes = Array<number>(10).fill(10);
  const jobs = [
    createOpenJob(createRecord('a', sizes, { team: 'a', dueAt: 1 })),
    createOpenJob(createRecord('b', sizes, { team: 'b', dueAt: 2 })),
  ];
  const chosen = choose(jobs, 80, { a: 1, b: 3 });
  t.is(chosen.filter((id) => id === 'b').length, 6);
});

test('a job for an adapter needs an executor that has the adapter', (t) => {
  const jobs = [createOpenJob(createRecord('a', [10], { adapter: 'tuned' }))];
  t.deepEqual(choose(jobs, 10), []);
});

test('the record of the largest job with all results stays below 1 MB', (t) => {
  const builder = new ChunkBuilder();
  const [item] = createItems(1);
  const sizes: number[] = [];
  for (let index = 0; index < 570_000; index += 1) {
    const chunk = builder.add(item!);
    if (chunk !== undefined) sizes.push(chunk.itemCount);
  }
  const rest = builder.finish();
  if (rest !== undefined) sizes.push(rest.itemCount);
  t.true(sizes.length <= 310);
  const record = createRecord('largest', sizes);
  record.chunks.forEach((chunk) => {
    chunk.result = createSegment(`result-${chunk.index}`);
    chunk.failedItems = 1234;
  });
  const encoded = encodeJob(record);
  t.true(Buffer.byteLength(encoded) < MAX_VALUE_BYTES / 8);
  t.deepEqual(getValue(decodeJob(encoded)), record);
});

test('a committed result is final and the record of a later owner is not overwritten', (t) => {
  const record = createRecord('a', [10, 10], { fence: 2 });
  const result = createSegment('first');
  record.chunks[0]!.result = result;
  const finished = new Map(
    [0, 1].map((chunk) => [chunk, { result: createSegment(`late-${chunk}`), failedItems: 1 }]),
  );
  t.is(mergeResults(record, finished, 1, 5), undefined);
  const merged = mergeResults(record, finished, 2, 5)!;
  t.deepEqual(merged.chunks[0], record.chunks[0]);
  t.deepEqual([merged.status, merged.endedAt], [JobStatus.Completed, 5]);
  t.is(mergeResults({ ...record, status: JobStatus.Cancelled }, finished, 2, 5), undefined);
});
