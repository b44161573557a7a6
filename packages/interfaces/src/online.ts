import type { Fault, Reply } from '@jujubelanding/errors';
import type { Subscription } from '@jujubelanding/timer';
import type {
  Generation,
  Idempotency,
  LoadReport,
  ServiceRequest,
  ServiceResponse,
  StreamEnd,
  Token,
} from '@jujubelanding/types';
import type { Result } from 'neverthrow';

/** Load of a worker, as far as this VM knows it. */
export interface WorkerLoad {
  workerId: string;
  slots: number;
  /** Online requests in progress from all entry VMs. */
  online: number;
  /** Batch items in progress. */
  batch: number;
  /** Age of the newest information, in milliseconds. */
  ageMs: number;
}

/** Loads of all workers; every entry VM has them, kept current by notices to the shard owners. */
export interface WorkerLoads {
  get(workerId: string): WorkerLoad;
  /**
   * Counts an online request and notifies the owner of the worker's shard; call before dispatch.
   */
  beginRequest(workerId: string): void;
  endRequest(workerId: string): void;
  /** Returns the number of online requests that this VM has in progress on the worker. */
  localInFlight(workerId: string): number;
}

/** Load of the workers whose shards this VM owns. */
export interface OwnedWorkerLoads {
  workerIds(): string[];
  online(workerId: string): number;
  slots(workerId: string): number;
  report(workerId: string): LoadReport | undefined;
  /**
   * True once all live entry VMs have reported since the shard was acquired, or a notice interval
   * has passed.
   */
  isComplete(workerId: string): boolean;
  /** Sets the number of batch items in progress, which the totals include. */
  setBatchCount(workerId: string, count: number): void;
  /** Calls the handler immediately when the number of online requests of a worker changes. */
  onOnlineChange(handler: (workerId: string) => void): Subscription;
}

/** Admission by the limits of a team; release it when the request has ended. */
export interface Permit {
  release(): void;
}

export interface TeamLimits {
  /** Admits a request of a team, or rejects it with outcome `not-run` and a retry delay. */
  admit(team: string): Result<Permit, Fault>;
}

/** What admission has to know about an online request. */
export interface OnlineAdmissionRequest {
  requestId: string;
  service: string;
  /** True for generations, which stream tokens. */
  isStream: boolean;
  team: string;
  bodyBytes: number;
  /** Monotonic time after which the request fails. */
  deadline: number;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

/** Admission of one online request with all its attempts. */
export interface OnlinePermit {
  /** Call when the request has ended; `isAnswered` if a worker has answered it. */
  release(isAnswered: boolean): void;
}

export interface OnlineAdmission {
  /** Lets the request wait for capacity, or refuses it with outcome `not-run` and a retry delay. */
  admit(request: OnlineAdmissionRequest): Reply<OnlinePermit>;
}

export interface OnlineGenerationRequest {
  generation: Omit<Generation, 'resumeTokens' | 'fence'>;
  idempotency: Idempotency;
  team: string;
  /** Monotonic time after which the request fails. */
  deadline: number;
}

export interface OnlineServiceRequest {
  service: string;
  request: ServiceRequest;
  idempotency: Idempotency;
  team: string;
  deadline: number;
}

/**
 * Refuses requests that crash workers. The parts of a request are its prefix hashes, and last one of its own;
 * `request` is the same each time that a caller sends the request.
 */
export interface Quarantine {
  /** Returns the fault with which the request is refused, if it is. */
  findBlock(parts: readonly string[], request: string): Fault | undefined;
  /** Has to be called when a request is sent. Returns a probe if the request is sent in spite of a block. */
  takeProbe(parts: readonly string[]): { giveBack(): void } | undefined;
  /** Records that a request with these parts has begun to receive its answer. */
  recordAnswer(parts: readonly string[]): void;
  /** Records that the answer to the request is complete. */
  recordCompletion(request: string): void;
  /**
   * Records that a worker's connection broke before the request received any of its answer, and when it was
   * sent to the worker.
   */
  recordLoss(workerId: string, parts: readonly string[], request: string, sentAt: number): void;
  /** Records that a worker's connection broke within the answer to the request. */
  recordCut(workerId: string, request: string, cut: { sentAt: number; firstDataAt: number }): void;
}

export interface OnlineDispatcher {
  /** Streams a complete, validated answer; each token is delivered exactly once and in order. */
  generate(
    request: OnlineGenerationRequest,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd>;
  call(request: OnlineServiceRequest, signal: AbortSignal): Reply<ServiceResponse>;
  inFlight(): number;
}
