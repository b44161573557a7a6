import type { Fault } from '@jujubelanding/errors';
import type { Worker } from '@jujubelanding/types';
import type { Result } from 'neverthrow';

/** Headers by lowercase name. */
export type HeaderFields = Record<string, string | string[]>;

/** A request that is passed to a worker unchanged. */
export interface ForwardedRequest {
  /** Id of the caller's attempt or of a batch item; workers echo it in their responses. */
  requestId: string;
  method: string;
  /** Path with query. */
  target: string;
  host: string;
  headers: HeaderFields;
  /** The caller's team, of which workers get the name. */
  team?: { name: string };
  body: Uint8Array;
  /** Time until the worker stops processing, in milliseconds. */
  remainingMs: number;
  /** Id of the last event already received; the worker resumes after it. */
  resumeAfter?: string | undefined;
}

/** Load that a worker reports about itself in a response or in a refusal. */
export interface ReportedLoad {
  running: number;
  waiting: number;
  slots: number;
  /** How long work takes at present, in percent of the usual; absent if the worker does not report it. */
  durationPercent?: number | undefined;
}

/**
 * Status and headers of a response of the worker itself, recognized by the echoed request id and by the
 * presence of the signature header.
 */
export interface WorkerResponse {
  status: number;
  /** Headers to pass to the caller, including the signature. */
  headers: HeaderFields;
  load?: ReportedLoad | undefined;
}

/** Fault of a request that was sent to a worker. */
export interface WorkerFault extends Fault {
  /** True if the worker itself refused the request. */
  isRefusal?: true;
  /** Load with which the worker refused the request; absent for all other faults. */
  load?: ReportedLoad | undefined;
}

const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;

export const isSuccess = (status: number): boolean =>
  status >= FIRST_SUCCESS && status < FIRST_REDIRECT;

export const isEventStream = (headers: HeaderFields): boolean =>
  String(headers['content-type'] ?? '').startsWith('text/event-stream');

export interface ResponseHandler {
  /** Called once, before the body; `resume` continues reading after a pause. */
  onStart: (response: WorkerResponse, resume: () => void) => void;
  /** Returns false if the rest of the body is not needed; the connection is then closed. */
  onChunk: (chunk: Buffer) => boolean;
  isPaused?: () => boolean;
}

/**
 * Forwards requests byte for byte. Resolves when the response is complete. A fault has outcome
 * `not-run` only if no byte reached the worker or the worker reported that it did not run the request.
 */
export interface RequestForwarder {
  forward(
    worker: Worker,
    request: ForwardedRequest,
    handler: ResponseHandler,
    signal: AbortSignal,
  ): Promise<Result<WorkerResponse, WorkerFault>>;
  close(): Promise<void>;
}

/** What became of a connection that was opened to find out whether a worker accepts connections. */
export enum ConnectionResult {
  Accepted = 'accepted',
  /** Accepted, and then closed or reset at once. */
  Closed = 'closed',
  Refused = 'refused',
  /** Neither accepted nor refused within the time limit. */
  Silent = 'silent',
}

/** A forwarder that also reports what answers say about the state of their workers. */
export interface BackendForwarder extends RequestForwarder {
  /**
   * Calls the handler when the head of an answer says that its worker is leaving. Any answer may say so:
   * also a refusal, and one that belongs to another request. The worker is the one as passed to `forward`.
   */
  onLeaving(handler: (worker: Worker) => void): void;
  /**
   * Opens a connection to the worker, sends nothing and closes it. Resolves with undefined if this VM cannot
   * open one, for example for lack of file descriptors; never rejects.
   */
  connect(worker: Worker): Promise<ConnectionResult | undefined>;
}
