/** Creates the grant message for a chunk. */
import type { ChunkGrant } from '@jujubelanding/peer-protocol';
import type { JobChunk, JobRecord } from '@jujubelanding/types';
import { GRANT_TIMEOUT_MS } from './schedule.js';

export const toChunkGrant = (
  record: JobRecord,
  chunk: JobChunk,
  identity: Pick<ChunkGrant, 'grantId' | 'shard' | 'fence'>,
): ChunkGrant => ({
  ...identity,
  jobId: record.id,
  chunk: chunk.index,
  firstItem: chunk.firstItem,
  itemCount: chunk.itemCount,
  model: record.model,
  ...(record.adapter === undefined ? {} : { adapter: record.adapter }),
  input: chunk.input,
  dueAt: record.dueAt,
  maxAttempts: record.maxAttempts,
  timeoutMs: GRANT_TIMEOUT_MS,
});
