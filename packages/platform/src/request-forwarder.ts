import type { Reply } from '@jujubelanding/errors';
import type { Worker } from '@jujubelanding/types';

/** Headers by lowercase name. */
export type HeaderFields = Record<string, string | string[]>;

/** A request that a worker receives as the caller sent it. */
export interface ForwardedRequest {
  /** Id of the caller's attempt, or of a batch item; workers repeat it in their answers. */
  requestId: string;
  method: string;
  /** Path with query. */
  target: string;
  host: string;
  headers: HeaderFields;
  body: Uint8Array;
  /** Time after which the worker stops, in milliseconds from now. */
  remainingMs: number;
  /** Id of the last event that is already known; the worker continues after it. */
  resumeAfter?: string | undefined;
}

/** Load that a worker states about itself in an answer. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
}

/** Status and headers of an answer that is certainly the worker's own. */
export interface WorkerResponse {
  status: number;
  /** Headers for the caller, the signature included. */
  headers: HeaderFields;
  load?: ReportedLoad | undefined;
}

export interface ResponseHandler {
  /** Called once, before the body. */
  onStart: (answer: WorkerResponse, resume: () => void) => void;
  /** Returns false when the body is of no use; the connection is then closed. */
  onChunk: (chunk: Buffer) => boolean;
  isPaused?: () => boolean;
}

/**
 * Forwards requests byte for byte. Resolves when the answer is complete. A fault has outcome `not-run`
 * only if no byte reached the worker or the worker said that it did not run the request.
 */
export interface RequestForwarder {
  forward(
    worker: Worker,
    request: ForwardedRequest,
    handler: ResponseHandler,
    signal: AbortSignal,
  ): Reply<WorkerResponse>;
  close(): Promise<void>;
}
