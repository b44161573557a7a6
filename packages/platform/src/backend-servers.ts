import type { Reply } from '@jujubelanding/errors';
import type {
  Generation,
  LoadReport,
  Order,
  ServiceRequest,
  ServiceResponse,
  StreamEnd,
  Token,
  Worker,
} from '@jujubelanding/types';

/** Reference to a worker; enough to reach it. */
export type WorkerAddress = Pick<Worker, 'id' | 'address'>;

/**
 * Calls to backend servers. A fault has outcome `not-run` only if no byte of the request can have
 * reached the worker, or if the worker said that it did not run.
 */
export interface BackendServers {
  /**
   * Streams a generation. Resolves with the end event, or with a fault when the stream is refused,
   * breaks or is cancelled through the signal (code Cancelled). Tokens are delivered in the order in
   * which the worker sent them; checking ids and indexes is the caller's task.
   */
  generate(
    worker: WorkerAddress,
    generation: Generation,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd>;
  /** Cancels a stream by its request id; succeeds also when it is unknown. */
  cancel(worker: WorkerAddress, requestId: string): Reply<void>;
  call(worker: WorkerAddress, request: ServiceRequest, signal: AbortSignal): Reply<ServiceResponse>;
  /** Reads the load report with cache events after the sequence number. */
  readLoad(worker: WorkerAddress, afterSequence: number): Reply<LoadReport>;
  sendOrder(worker: WorkerAddress, order: Order): Reply<void>;
  exportCache(worker: WorkerAddress, requestId: string): Reply<Uint8Array>;
  importCache(worker: WorkerAddress, requestId: string, cache: Uint8Array): Reply<void>;
}
