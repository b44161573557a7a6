/**
 * Job records of realistic size, built with the chunking and encoding of the batch-jobs package.
 */
import { ChunkBuilder, encodeJob } from '@jujubelanding/batch-jobs';
import { computeChecksum } from '@jujubelanding/random';
import { JobStatus, type JobChunk, type JobRecord } from '@jujubelanding/types';

/** Number of entry VMs with a disk, which hold the segment copies. */
const DISK_VM_COUNT = 51;

const createSegment = (index: number, bytes: number) => ({
  id: computeChecksum(`segment-${index}`),
  bytes,
  copies: [0, 1].map(
    (copy) => `entry-vm-${String(((index + copy) % DISK_VM_COUNT) * 8).padStart(4, '0')}`,
  ),
});

export const createJobRecord = (chunks: JobChunk[], jobId = 0): JobRecord => ({
  id: computeChecksum(`job-${jobId}`).slice(0, 32),
  team: `team-${jobId % 7300}`,
  idempotencyKey: computeChecksum(`key-${jobId}`),
  model: 'advisor',
  maxAttempts: 3,
  digest: computeChecksum('items'),
  status: JobStatus.Open,
  itemCount: chunks.reduce((sum, { itemCount }) => sum + itemCount, 0),
  chunks,
  createdAt: 1_767_225_600_000,
  dueAt: 1_767_247_200_000 + jobId,
  fence: 123,
});

/** Creates chunks of equal size; the first `finished` ones have a result. */
export const createChunks = (count: number, finished: number): JobChunk[] =>
  Array.from({ length: count }, (_, index) => ({
    index,
    firstItem: index * 2000,
    itemCount: 2000,
    input: createSegment(index, 987_654),
    ...(index < finished ? { result: createSegment(index + count, 1_876_543) } : {}),
    failedItems: index % 3,
  }));

/** Splits a job of short items into chunks. The record is largest when the job is finished. */
export const buildFinishedJob = (itemCount: number): { chunks: number; recordBytes: number } => {
  const builder = new ChunkBuilder();
  const counts: number[] = [];
  const messages = [{ role: 'user', content: 'x'.repeat(400) }];
  for (let index = 0; index < itemCount; index += 1) {
    const chunk = builder.add({ itemId: `item-${index}`, messages, maxTokens: 256 });
    if (chunk !== undefined) counts.push(chunk.itemCount);
  }
  const last = builder.finish();
  if (last !== undefined) counts.push(last.itemCount);
  const chunks = createChunks(counts.length, counts.length).map((chunk, index) => ({
    ...chunk,
    itemCount: counts[index]!,
  }));
  return {
    chunks: counts.length,
    recordBytes: Buffer.byteLength(encodeJob(createJobRecord(chunks))),
  };
};

/** Throws if the key-value service would reject a record of this size. */
export const checkRecordSize = (bytes: number, limit: number): void => {
  if (bytes > limit) throw new Error(`job record of ${bytes} bytes exceeds ${limit}`);
};
