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

/** Best knowledge of a worker's load on this VM. */
export interface WorkerLoad {
  workerId: string;
  slots: number;
  /** Online requests in progress over all entry VMs. */
  online: number;
  /** Batch items in progress. */
  batch: number;
  /** Age of the newest information, in milliseconds. */
  ageMs: number;
}

/** Load as known to every entry VM, kept current by notices to shard owners. */
export interface WorkerLoads {
  get(workerId: string): WorkerLoad;
  /** Counts an online request and notifies the worker's shard owner; call before dispatch. */
  beginRequest(workerId: string): void;
  endRequest(workerId: string): void;
  /** Online requests that this VM has in progress on the worker. */
  localInFlight(workerId: string): number;
}

/** Load of the workers whose shards this VM owns. */
export interface OwnedWorkerLoads {
  workerIds(): string[];
  online(workerId: string): number;
  slots(workerId: string): number;
  report(workerId: string): LoadReport | undefined;
  /** True once all live entry VMs have reported since the shard was gained, or a notice interval passed. */
  isComplete(workerId: string): boolean;
  /** Sets the batch items in progress, so that totals include them. */
  setBatchCount(workerId: string, count: number): void;
  /** Called at once when the number of online requests of a worker rises or falls. */
  onOnlineChange(handler: (workerId: string) => void): Subscription;
}

/** Permission for one online request; release it when the request has ended. */
export interface Permit {
  release(): void;
}

export interface TeamLimits {
  /** Admits a request of a team or refuses it with outcome `not-run` and a retry time. */
  admit(team: string): Result<Permit, Fault>;
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

export interface OnlineDispatcher {
  /** Streams a whole, checked answer; tokens arrive once each and in order. */
  generate(
    request: OnlineGenerationRequest,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd>;
  call(request: OnlineServiceRequest, signal: AbortSignal): Reply<ServiceResponse>;
  inFlight(): number;
}
