/** Compact encoding of job records: a table of VM ids, checksums in base64url, positions omitted. */
import { FaultCode, getErrorMessage, type Fault } from '@jujubelanding/errors';
import {
  JobStatus,
  type JobChunk,
  type JobRecord,
  type SegmentReference,
} from '@jujubelanding/types';
import { ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { createNotRunFault } from './faults.js';

const FORMAT_VERSION = 1;

const storedSegment = z.tuple([z.string(), z.number(), z.array(z.number())]);
const storedChunk = z.tuple([z.number(), storedSegment, storedSegment.nullable(), z.number()]);

const storedJob = z.object({
  v: z.literal(FORMAT_VERSION),
  id: z.string(),
  team: z.string(),
  idempotencyKey: z.string(),
  model: z.string(),
  adapter: z.string().optional(),
  jobClass: z.string().optional(),
  maxAttempts: z.number(),
  digest: z.string(),
  status: z.enum(JobStatus),
  itemCount: z.number(),
  createdAt: z.number(),
  dueAt: z.number(),
  endedAt: z.number().optional(),
  fence: z.number(),
  vms: z.array(z.string()),
  /** Tuples of item count, input, result and number of failed items. */
  chunks: z.array(storedChunk),
});

type StoredSegment = z.infer<typeof storedSegment>;
type StoredChunk = z.infer<typeof storedChunk>;

const encodeChunks = (chunks: readonly JobChunk[]): { vms: string[]; chunks: StoredChunk[] } => {
  const vmIndexes = new Map<string, number>();
  const getVmIndex = (vm: string): number => {
    if (!vmIndexes.has(vm)) vmIndexes.set(vm, vmIndexes.size);
    return vmIndexes.get(vm)!;
  };
  const encodeSegment = (segment: SegmentReference): StoredSegment => [
    Buffer.from(segment.id, 'hex').toString('base64url'),
    segment.bytes,
    segment.copies.map(getVmIndex),
  ];
  const encoded = chunks.map((chunk): StoredChunk => [
    chunk.itemCount,
    encodeSegment(chunk.input),
    chunk.result === undefined ? null : encodeSegment(chunk.result),
    chunk.failedItems,
  ]);
  return { vms: [...vmIndexes.keys()], chunks: encoded };
};

const decodeChunks = (vms: readonly string[], chunks: readonly StoredChunk[]): JobChunk[] => {
  const decodeSegment = ([id, bytes, copies]: StoredSegment): SegmentReference => ({
    id: Buffer.from(id, 'base64url').toString('hex'),
    bytes,
    copies: copies.map((vmIndex) => vms[vmIndex]!),
  });
  let firstItem = 0;
  return chunks.map(([itemCount, input, result, failedItems], index) => {
    const chunk = {
      index,
      firstItem,
      itemCount,
      input: decodeSegment(input),
      ...(result === null ? {} : { result: decodeSegment(result) }),
      failedItems,
    };
    firstItem += itemCount;
    return chunk;
  });
};

/** Encodes a job record as a value of the key-value service. */
export const encodeJob = (job: JobRecord): string =>
  JSON.stringify({ v: FORMAT_VERSION, ...job, ...encodeChunks(job.chunks) });

/** Decodes a job record from a value of the key-value service. */
export const decodeJob = (value: string): Result<JobRecord, Fault> => {
  try {
    const { v, vms, chunks, ...header } = storedJob.parse(JSON.parse(value));
    return ok({ ...header, chunks: decodeChunks(vms, chunks) });
  } catch (thrown) {
    return createNotRunFault(FaultCode.Corrupt, 'job-decode', getErrorMessage(thrown));
  }
};
