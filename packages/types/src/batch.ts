/** Types of batch jobs, their chunks and their results. */
import type { Message } from './inference.js';

export interface BatchItem {
  /** The caller's own id of the item, unique in its job. */
  itemId: string;
  messages: Message[];
  maxTokens: number;
}

export enum ItemStatus {
  Succeeded = 'succeeded',
  Failed = 'failed',
}

/** The one visible result of a batch item. */
export interface ItemResult {
  /** Position in the job, counted from 0. */
  index: number;
  itemId: string;
  status: ItemStatus;
  text?: string;
  reason?: string;
  attempts: number;
}

/** An immutable segment; the id is the SHA-256 checksum of its content. */
export interface SegmentReference {
  id: string;
  bytes: number;
  /** Ids of the entry VMs that hold a copy. */
  copies: string[];
}

export interface JobChunk {
  index: number;
  firstItem: number;
  itemCount: number;
  input: SegmentReference;
  /** Present once the chunk is committed; never replaced by another content. */
  result?: SegmentReference;
  failedItems: number;
}

export enum JobStatus {
  Open = 'open',
  Completed = 'completed',
  Cancelled = 'cancelled',
}

/** Durable state of a batch job, one value in the key-value service. */
export interface JobRecord {
  id: string;
  team: string;
  idempotencyKey: string;
  model: string;
  adapter?: string;
  /** Name of the job class record, where the submission named one. */
  jobClass?: string;
  maxAttempts: number;
  /** SHA-256 over the items; tells a resent job from another one under the same key. */
  digest: string;
  status: JobStatus;
  itemCount: number;
  chunks: JobChunk[];
  /** Epoch milliseconds. */
  createdAt: number;
  dueAt: number;
  endedAt?: number;
  /** Fencing number of the shard owner that wrote the record last. */
  fence: number;
}
