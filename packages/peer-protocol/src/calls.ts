import type { Message, SegmentReference } from '@jujubelanding/types';

/** Methods of the request-response calls between entry VMs. */
export enum PeerMethod {
  PullConfiguration = 'pullConfiguration',
  PushConfiguration = 'pushConfiguration',
  RequestChunk = 'requestChunk',
  ReportProgress = 'reportProgress',
  CompleteChunk = 'completeChunk',
  NotifyJobChanged = 'notifyJobChanged',
  Claim = 'claim',
  StoreCopy = 'storeCopy',
  ExchangeValues = 'exchangeValues',
}

/** An operator record as replicated between entry VMs. */
export interface ReplicatedRecord {
  kind: string;
  name: string;
  /** Modification revision in the key-value service. */
  revision: number;
  /** The stored record as JSON; a tombstone for a deleted record. */
  value: string;
}

/** All records changed after `afterRevision`, up to `revision`. */
export interface ConfigurationDelta {
  afterRevision: number;
  revision: number;
  records: ReplicatedRecord[];
}

export interface PushReply {
  heldRevision: number;
}

export interface ChunkRequest {
  shard: number;
  executorId: string;
  /** Models for which the executor has idle batch slots. */
  models: string[];
  slots: number;
}

/** Assigns a chunk to an executor. */
export interface ChunkGrant {
  jobId: string;
  shard: number;
  /** Fencing number of the job's shard owner. */
  fence: number;
  /** Distinguishes successive grants of the same chunk. */
  grantId: string;
  chunk: number;
  firstItem: number;
  itemCount: number;
  model: string;
  adapter?: string;
  input: SegmentReference;
  dueAt: number;
  /** Maximum attempts per item before it fails. */
  maxAttempts?: number;
  /** Without a progress report within this time the chunk is granted again. */
  timeoutMs: number;
}

export interface ProgressReport {
  shard: number;
  executorId: string;
  grants: { jobId: string; chunk: number; grantId: string }[];
}

export enum ProgressDecision {
  Continue = 'continue',
  Stop = 'stop',
}

export interface ProgressReply {
  verdicts: ProgressDecision[];
}

export interface ChunkCompletion {
  shard: number;
  jobId: string;
  chunk: number;
  grantId: string;
  result: SegmentReference;
  failedItems: number;
}

export enum CompletionStatus {
  /** Durable in the job record, or already committed by another executor. */
  Committed = 'committed',
  /** The job is cancelled or unknown; the result is discarded. */
  Rejected = 'rejected',
}

export interface JobNotice {
  shard: number;
  jobId: string;
}

export interface ClaimRequest {
  shard: number;
  /** Hash of team and idempotency key. */
  claimId: string;
  /** Hash of the request; distinguishes a retry from a different request with the same key. */
  digest: string;
  requestId: string;
}

export enum ClaimStatus {
  Claimed = 'claimed',
  AlreadyClaimed = 'already-claimed',
}

export interface CopyRequest {
  segmentId: string;
  /** Entry VMs that hold a copy. */
  sources: string[];
}

/** A value that an entry VM shares with all others through memory. */
export interface SharedValue {
  key: string;
  value: string;
  /** The highest version of a key is in force; of equal ones, that of the greater writer. */
  version: number;
  writer: string;
  /** Time of the write on the writer's monotonic clock. */
  writtenAt: number;
  /** Time since the write. */
  ageMs: number;
  /** Time until the value expires. */
  remainingMs: number;
}

/** Identifies a shared value without its content. */
export type SharedValueVersion = [key: string, version: number, writer: string];

export interface ValueExchange {
  /** Versions that the sender has; absent if it only hands over values. */
  versions?: SharedValueVersion[] | undefined;
  values: SharedValue[];
}

export interface ValueExchangeReply {
  /** Values that the sender lacks. */
  values: SharedValue[];
  /** Keys of values that the receiver lacks. */
  missing: string[];
}

/** Input and output of each call. */
export interface PeerCalls {
  [PeerMethod.PullConfiguration]: {
    input: { afterRevision: number };
    output: ConfigurationDelta;
  };
  [PeerMethod.PushConfiguration]: { input: ConfigurationDelta; output: PushReply };
  [PeerMethod.RequestChunk]: { input: ChunkRequest; output: { grants: ChunkGrant[] } };
  [PeerMethod.ReportProgress]: { input: ProgressReport; output: ProgressReply };
  [PeerMethod.CompleteChunk]: { input: ChunkCompletion; output: { status: CompletionStatus } };
  [PeerMethod.NotifyJobChanged]: { input: JobNotice; output: Record<string, never> };
  [PeerMethod.Claim]: { input: ClaimRequest; output: { status: ClaimStatus } };
  [PeerMethod.StoreCopy]: { input: CopyRequest; output: Record<string, never> };
  [PeerMethod.ExchangeValues]: { input: ValueExchange; output: ValueExchangeReply };
}

/** An item of an input segment, which stores one item per line as JSON. */
export interface SegmentItem {
  index: number;
  itemId: string;
  messages: Message[];
  maxTokens: number;
}
