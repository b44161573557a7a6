/** Types of batch jobs, their chunks and their results. */
import type { Message } from './inference.js';

export interface BatchItem {
  /** Id chosen by the caller, unique within the job. */
  itemId: string;
  messages: Message[];
  maxTokens: number;
}

export enum ItemStatus {
  Succeeded = 'succeeded',
  Failed = 'failed',
}

/** Result of a batch item; there is exactly one per item. */
export interface ItemResult {
  /** Position in the job, counted from 0. */
  index: number;
  itemId: string;
  status: ItemStatus;
  text?: string;
  reason?: string;
  attempts: number;
}

/** Refers to an immutable segment; the id is the SHA-256 checksum of its content. */
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
  /** Present once the chunk is committed; never replaced by different content. */
  result?: SegmentReference;
  failedItems: number;
}

export enum JobStatus {
  Open = 'open',
  Completed = 'completed',
  Cancelled = 'cancelled',
}

/** Durable state of a batch job, stored as one value in the key-value service. */
export interface JobRecord {
  id: string;
  team: string;
  idempotencyKey: string;
  model: string;
  adapter?: string;
  /** Name of the job class record, if the submission specified one. */
  jobClass?: string;
  maxAttempts: number;
  /**
   * SHA-256 checksum of the items; distinguishes a resent job from a different one with the same
   * key.
   */
  digest: string;
  status: JobStatus;
  itemCount: number;
  chunks: JobChunk[];
  /** Epoch milliseconds. */
  createdAt: number;
  dueAt: number;
  endedAt?: number;
  /** Fencing number of the shard owner that last wrote the record. */
  fence: number;
}
