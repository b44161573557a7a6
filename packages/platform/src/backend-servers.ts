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

/** The fields of a worker that are needed to call it. */
export type WorkerAddress = Pick<Worker, 'id' | 'address'>;

/**
 * Client of the backend servers. A fault has outcome `not-run` only if no byte of the request can have
 * reached the worker, or if the worker reported that it did not run the request.
 */
export interface BackendServers {
  /**
   * Streams a generation. Resolves with the end event, or with a fault when the stream is refused,
   * breaks or is cancelled through the signal (code Cancelled). Tokens are delivered in the order in
   * which the worker sent them; the caller must check ids and indexes.
   */
  generate(
    worker: WorkerAddress,
    generation: Generation,
    onToken: (token: Token) => void,
    signal: AbortSignal,
  ): Reply<StreamEnd>;
  /** Cancels a stream by request id; also succeeds if the id is unknown. */
  cancel(worker: WorkerAddress, requestId: string): Reply<void>;
  call(worker: WorkerAddress, request: ServiceRequest, signal: AbortSignal): Reply<ServiceResponse>;
  /** Reads the load report, with the cache events after the given sequence number. */
  readLoad(worker: WorkerAddress, afterSequence: number): Reply<LoadReport>;
  sendOrder(worker: WorkerAddress, order: Order): Reply<void>;
  exportCache(worker: WorkerAddress, requestId: string): Reply<Uint8Array>;
  importCache(worker: WorkerAddress, requestId: string, cache: Uint8Array): Reply<void>;
}
