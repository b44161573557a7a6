/** Measures the cost of open jobs and chunks for the job owner. */
import { chooseChunks, decodeJob, encodeJob, type OpenJob } from '@jujubelanding/batch-jobs';
import { JobControl, type JobRecord } from '@jujubelanding/types';
import { buildFinishedJob, createChunks, createJobRecord } from '../job-record.js';
import { measureHeapBytes, measureSynchronous } from '../processor-time.js';
import type { Point } from '../fit.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  selectSizes,
  type MeasurementOptions,
  type Series,
} from '../series.js';

const OPEN_JOB_COUNTS = [8, 32, 125, 500, 2000];
const CHUNK_COUNTS = [25, 75, 150, 300];
const ITEM_COUNTS = [10_000, 50_000, 150_000, 300_000, 570_000];
/** Chunks of a job of 145,000 items, the mean for 290 million items in 2,000 jobs. */
const MEAN_CHUNK_COUNT = 77;

const SCHEDULE_POLICY = { weightOf: () => 1, controlOf: () => JobControl.Running };

const createOpenJob = (index: number): OpenJob => ({
  record: createJobRecord(createChunks(MEAN_CHUNK_COUNT, Math.floor(MEAN_CHUNK_COUNT / 2)), index),
  revision: 1,
  grants: new Map([[40, { grantId: 'grant', executorId: 'vm', deadline: 1e9 }]]),
  finished: new Set(),
  grantableFrom: 0,
  isSuspended: false,
});

const measureGrant = (count: number): Promise<number> => {
  const jobs = Array.from({ length: count }, (_, index) => createOpenJob(index));
  return measureSynchronous(() => {
    chooseChunks(jobs, { models: ['advisor'], slots: 64 }, SCHEDULE_POLICY, 1000);
  });
};

const decodeRecord = (value: string): JobRecord => {
  const decoded = decodeJob(value);
  if (decoded.isErr()) throw new Error(decoded.error.message);
  return decoded.value;
};

/** A commit encodes the record; the owner's watch then returns it and the owner decodes it. */
const measureCommit = (chunks: number): Promise<number> => {
  const record = createJobRecord(createChunks(chunks, chunks - 1));
  return measureSynchronous(() => {
    decodeRecord(encodeJob(record));
  });
};

const measureJobHeap = (count: number): Promise<number> =>
  measureHeapBytes(() => {
    const values = Array.from({ length: count }, (_, index) =>
      encodeJob(createOpenJob(index).record),
    );
    return values.map(decodeRecord);
  });

const SCHEDULE_SOURCE = 'batch-jobs/src/schedule.ts';
const CODEC_SOURCE = 'batch-jobs/src/codec.ts, chunk-builder.ts';

const createRecordSeries = (options: MeasurementOptions): Series[] => {
  const built = selectSizes(ITEM_COUNTS, options).map((size) => ({
    size,
    result: buildFinishedJob(size),
  }));
  const item = { kind: Kind.Counted, size: 'items', source: CODEC_SOURCE };
  return [
    createSeries(
      { ...item, id: 'jobs.chunks', title: 'Job: chunks', unit: 'chunks' },
      pickPoints(built, ({ chunks }) => chunks),
    ),
    createSeries(
      { ...item, id: 'jobs.recordBytes', title: 'Job: record of a finished job', unit: 'B' },
      pickPoints(built, ({ recordBytes }) => recordBytes),
    ),
  ];
};

const createGrantSeries = (points: Point[]): Series =>
  createSeries(
    {
      id: 'jobs.grant',
      title: 'Job owner: a chunk request',
      kind: Kind.Processor,
      size: 'open jobs of 77 chunks',
      unit: 'µs per request',
      source: SCHEDULE_SOURCE,
    },
    points,
  );

/** Measures chunk grants, commits, record sizes and heap of the job owner. */
export const measureJobs = async (options: MeasurementOptions): Promise<Series[]> => {
  const grants = await measureEach(selectSizes(OPEN_JOB_COUNTS, options), measureGrant);
  const commits = await measureEach(CHUNK_COUNTS, measureCommit);
  const heaps = await measureEach([8, 32, 64, 128], measureJobHeap);
  return [
    createGrantSeries(pickPoints(grants, (value) => value)),
    createSeries(
      {
        id: 'jobs.commit',
        title: 'Job owner: encoding and decoding a commit',
        kind: Kind.Processor,
        size: 'chunks',
        unit: 'µs per commit',
        source: CODEC_SOURCE,
      },
      pickPoints(commits, (value) => value),
    ),
    createSeries(
      {
        id: 'jobs.heap',
        title: 'Job owner: heap of open jobs of 77 chunks',
        kind: Kind.Memory,
        size: 'open jobs',
        unit: 'B',
        source: CODEC_SOURCE,
      },
      pickPoints(heaps, (value) => value),
    ),
    ...createRecordSeries(options),
  ];
};
