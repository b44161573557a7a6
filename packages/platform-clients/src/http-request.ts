/** Sends an HTTP request and tracks whether it can have reached the server. */
import { FaultCode, getErrorMessage, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { err, ok, Result } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { BodyBudget, BufferedBody } from './body-budget.js';
import type { ConnectionPools } from './connection-pools.js';
import { parseHeaders } from './response-headers.js';

/** Maximum size of a response that is buffered. */
const MAX_BODY_BYTES = 32 * 1024 * 1024;

/** Maximum number of informational responses before the final one. */
const MAX_INFORMATIONAL_RESPONSES = 8;

const HTTP_OK = 200;

/** Codes of the errors with which undici refuses to write a request, on any connection. */
const UNWRITABLE_CODES: ReadonlySet<string | undefined> = new Set([
  'UND_ERR_INVALID_ARG',
  'UND_ERR_NOT_SUPPORTED',
  'UND_ERR_REQ_CONTENT_LENGTH_MISMATCH',
]);

export enum TimeoutKind {
  /** The whole response must arrive within the timeout. */
  Total = 'total',
  /** The time between two parts of the response must not exceed the timeout. */
  Idle = 'idle',
}

export interface HttpRequest {
  step: string;
  peer: string;
  address: string;
  method: Dispatcher.HttpMethod;
  path: string;
  headers?: Record<string, string>;
  body?: string | Uint8Array;
  timeoutMs: number;
  timeoutKind?: TimeoutKind;
  signal?: AbortSignal;
  /** Applies backpressure: true while the consumer of the body cannot accept more chunks. */
  isPaused?: () => boolean;
  /**
   * True for a response after which the connection is closed, because a copy of it could not be told from
   * the response to the next request.
   */
  isLastOnConnection?: (start: Pick<HttpResponse, 'status' | 'headers'>) => boolean;
  /**
   * Receives the body of a response with status 200 in chunks; other bodies are buffered. Returning
   * false aborts the request.
   */
  onChunk?: (chunk: Buffer) => boolean;
  /**
   * Receives status and headers before the body. If it returns true, the body is passed to `onChunk`,
   * whatever the status; otherwise it is buffered.
   */
  onStart?: (start: ResponseStart) => boolean;
}

export interface ResponseStart extends Omit<HttpResponse, 'body'> {
  /** Resumes reading the body after {@link HttpRequest.isPaused} paused it. */
  resume: () => void;
}

export interface HttpResponse {
  status: number;
  headers: Record<string, string | string[]>;
  /** Empty if the body was passed to `onChunk`. */
  body: Buffer;
}

type ResponseCallback = (result: Result<HttpResponse, Fault>) => void;

/** Handles the events of one request; its outcome depends on whether a byte can have been sent. */
class RequestHandler implements Dispatcher.DispatchHandlers, BufferedBody {
  private isSent = false;

  private isSettled = false;

  private head: HttpResponse | undefined;

  private chunks: Buffer[] = [];

  private isForwarded = false;

  /** Size of a body after which the connection is closed; undefined if it stays open. */
  private lastBodySize: number | undefined;

  /** Bytes of the body that are buffered. */
  private size = 0;

  /** Bytes of the body, with those passed to `onChunk`. */
  private received = 0;

  private informationalResponses = 0;

  private lastActivity: number;

  private timeout: Subscription | undefined;

  private abort: (() => void) | undefined;

  private readonly cancel = (): void =>
    this.abortWith(FaultCode.Cancelled, 'cancelled by the caller');

  constructor(
    private readonly request: HttpRequest,
    private readonly timer: Timer,
    private readonly budget: BodyBudget,
    private readonly resolve: ResponseCallback,
  ) {
    this.lastActivity = timer.now();
    this.startTimeout(request.timeoutMs);
    request.signal?.addEventListener('abort', this.cancel, { once: true });
  }

  get bytes(): number {
    return this.size;
  }

  /** True if no further request may use the connection. */
  private get isLast(): boolean {
    return this.head !== undefined && this.request.isLastOnConnection?.(this.head) === true;
  }

  onConnect(abort: () => void): void {
    // undici calls this just before it writes the first byte, and again for a retry on another connection.
    this.abort = abort;
    if (this.isSettled) abort();
    else this.isSent = true;
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void): boolean {
    this.lastActivity = this.timer.now();
    if (status < HTTP_OK) this.skipInformational();
    else {
      const parsed = parseHeaders(headers);
      this.head = { status, headers: parsed, body: Buffer.alloc(0) };
      const { onStart } = this.request;
      this.isForwarded = onStart?.({ status, headers: parsed, resume }) ?? status === HTTP_OK;
      if (this.isLast) this.lastBodySize = Number(parsed['content-length']);
      this.closeAfterLastBody();
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.isSettled) return true;
    this.lastActivity = this.timer.now();
    this.received += chunk.length;
    if (this.request.onChunk !== undefined && this.isForwarded) {
      const wantsMore = this.request.onChunk(chunk);
      if (!wantsMore) this.abortWith(FaultCode.InvalidStream, 'the stream cannot be read');
      this.closeAfterLastBody();
      return this.request.isPaused?.() !== true;
    }
    this.size += chunk.length;
    this.chunks.push(chunk);
    this.budget.add(this, chunk.length);
    if (this.size > MAX_BODY_BYTES) this.reject();
    this.closeAfterLastBody();
    return true;
  }

  reject(): void {
    this.abortWith(FaultCode.TooLarge, 'the response is too large');
  }

  /** Informational responses precede the final one. */
  private skipInformational(): void {
    this.informationalResponses += 1;
    if (this.informationalResponses <= MAX_INFORMATIONAL_RESPONSES) return;
    this.abortWith(FaultCode.InvalidStream, 'too many informational responses');
  }

  onComplete(): void {
    if (this.head === undefined) {
      this.fail(FaultCode.Interrupted, 'the response has no status');
      return;
    }
    this.settle(ok({ ...this.head, body: Buffer.concat(this.chunks) }));
  }

  onError(error: NodeJS.ErrnoException): void {
    if (this.isSent) this.fail(FaultCode.Interrupted, error.message);
    else if (UNWRITABLE_CODES.has(error.code)) this.fail(FaultCode.InvalidInput, error.message);
    else this.fail(FaultCode.Unavailable, error.message);
  }

  /** Closes the connection before it can be used again, if the last body on it is complete. */
  private closeAfterLastBody(): void {
    if (this.received !== this.lastBodySize) return;
    this.settle(ok({ ...this.head!, body: Buffer.concat(this.chunks) }));
    this.abort?.();
  }

  /** Fails the request and closes its connection, which notifies the server. */
  abortWith(code: FaultCode, message: string): void {
    this.fail(code, message);
    this.abort?.();
  }

  private fail(code: FaultCode, message: string): void {
    const { step, peer } = this.request;
    const outcome = this.isSent ? Outcome.OutcomeUnknown : Outcome.NotRun;
    this.settle(err({ code, outcome, step, peer, message: `${step} at ${peer}: ${message}` }));
  }

  private startTimeout(delayMs: number): void {
    this.timeout = this.timer.after(delayMs, () => {
      const { timeoutKind, timeoutMs } = this.request;
      const idleMs = this.timer.now() - this.lastActivity;
      if (timeoutKind === TimeoutKind.Idle && idleMs < timeoutMs) {
        this.startTimeout(timeoutMs - idleMs);
        return;
      }
      this.abortWith(FaultCode.Timeout, `no response within ${timeoutMs} ms`);
    });
  }

  private settle(result: Result<HttpResponse, Fault>): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.timeout?.cancel();
    this.budget.release(this);
    this.chunks = [];
    this.request.signal?.removeEventListener('abort', this.cancel);
    this.resolve(result);
  }
}

const errNotRun = (request: HttpRequest, code: FaultCode, message: string): Result<never, Fault> =>
  err({ code, outcome: Outcome.NotRun, step: request.step, peer: request.peer, message });

/** Reserves a connection; an address that is no address throws, and must not end the process. */
const acquireConnection = Result.fromThrowable(
  (pools: ConnectionPools, address: string) => pools.acquire(address),
  getErrorMessage,
);

/**
 * True if idle connections must not be used again. The connection of a last response in chunks is still open
 * and cannot be told from the others; one without a length or chunks has ended with its connection.
 */
const mustReplaceIdle = (
  { isLastOnConnection }: HttpRequest,
  response: Result<HttpResponse, Fault>,
): boolean => {
  if (response.isErr()) return response.error.code === FaultCode.Timeout;
  const { headers } = response.value;
  if (headers['transfer-encoding'] === undefined || headers.connection === 'close') return false;
  return isLastOnConnection?.(response.value) === true;
};

/** Sends a request and returns the response, whatever its status. */
export const sendRequest = async (
  pools: ConnectionPools,
  timer: Timer,
  request: HttpRequest,
): Reply<HttpResponse> => {
  if (request.signal?.aborted === true) {
    return errNotRun(request, FaultCode.Cancelled, 'the request was cancelled before it was sent');
  }
  const acquired = acquireConnection(pools, request.address);
  if (acquired.isErr()) return errNotRun(request, FaultCode.Unavailable, acquired.error);
  const connection = acquired.value;
  if (connection === undefined) {
    return errNotRun(
      request,
      FaultCode.Overloaded,
      `no connection to ${request.peer} is available`,
    );
  }
  const { method, path, headers, body } = request;
  const response = await new Promise<Result<HttpResponse, Fault>>((resolve) => {
    const handler = new RequestHandler(request, timer, pools.bodies, resolve);
    connection.pool.dispatch({ method, path, headers, body, blocking: false }, handler);
  });
  connection.release();
  if (mustReplaceIdle(request, response)) pools.replaceIdle(request.address, connection.pool);
  return response;
};
