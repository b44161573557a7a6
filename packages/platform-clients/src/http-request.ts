/** One HTTP request and its answer, with strict outcomes. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import { util, type Dispatcher } from 'undici';
import type { ConnectionPools } from './connection-pools.js';

/** Largest answer that is read into memory. */
const MAX_RESPONSE_BYTES = 128 * 1024 * 1024;

const HTTP_OK = 200;

export enum TimeoutKind {
  /** The whole answer must arrive in time. */
  Total = 'total',
  /** Some part of the answer must arrive at least this often. */
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
  /** True while no more of the body may arrive, because its reader is slower than the server. */
  isPaused?: () => boolean;
  /**
   * Receives the body of an answer with status 200 piece by piece; others are read whole. Returning
   * false ends the exchange.
   */
  onChunk?: (chunk: Buffer) => boolean;
  /**
   * Receives status and headers before the body. Where it returns true, the body goes to `onChunk`,
   * whatever the status; else it is read whole.
   */
  onStart?: (start: ResponseStart) => boolean;
}

export interface ResponseStart extends Omit<HttpResponse, 'body'> {
  /** Continues the body after {@link HttpRequest.isPaused} stopped it. */
  resume: () => void;
}

export interface HttpResponse {
  status: number;
  headers: Record<string, string | string[]>;
  /** Empty where the body was received piece by piece. */
  body: Buffer;
}

type Settle = (result: Result<HttpResponse, Fault>) => void;

/** Tracks whether the request can have reached the server; everything else follows from that. */
class RequestHandler implements Dispatcher.DispatchHandlers {
  private isSent = false;

  private isSettled = false;

  private answer: HttpResponse | undefined;

  private chunks: Buffer[] = [];

  private isForwarded = false;

  private size = 0;

  private lastActivity: number;

  private timeout: Subscription | undefined;

  private abort: (() => void) | undefined;

  private readonly cancel = (): void =>
    this.abortWith(FaultCode.Cancelled, 'cancelled by the caller');

  constructor(
    private readonly request: HttpRequest,
    private readonly timer: Timer,
    private readonly resolve: Settle,
  ) {
    this.lastActivity = timer.now();
    this.startTimeout(request.timeoutMs);
    request.signal?.addEventListener('abort', this.cancel, { once: true });
  }

  onConnect(abort: () => void): void {
    // Called just before the first byte is written; a retry on another connection calls it again.
    this.abort = abort;
    if (this.isSettled) abort();
    else this.isSent = true;
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void): boolean {
    this.lastActivity = this.timer.now();
    // Informational answers precede the final one.
    if (status >= HTTP_OK) {
      const parsed = util.parseHeaders(headers);
      this.answer = { status, headers: parsed, body: Buffer.alloc(0) };
      const { onStart } = this.request;
      this.isForwarded = onStart?.({ status, headers: parsed, resume }) ?? status === HTTP_OK;
    }
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.isSettled) return true;
    this.lastActivity = this.timer.now();
    if (this.request.onChunk !== undefined && this.isForwarded) {
      const wantsMore = this.request.onChunk(chunk);
      if (!wantsMore) this.abortWith(FaultCode.InvalidStream, 'the stream cannot be read');
      return this.request.isPaused?.() !== true;
    }
    this.size += chunk.length;
    if (this.size > MAX_RESPONSE_BYTES) {
      this.abortWith(FaultCode.TooLarge, 'the answer is too large');
    } else this.chunks.push(chunk);
    return true;
  }

  onComplete(): void {
    if (this.answer === undefined) {
      this.fail(FaultCode.Interrupted, 'the answer has no status');
      return;
    }
    this.settle(ok({ ...this.answer, body: Buffer.concat(this.chunks) }));
  }

  onError(error: Error): void {
    const code = this.isSent ? FaultCode.Interrupted : FaultCode.Unavailable;
    this.fail(code, error.message);
  }

  /** Ends the exchange early and closes its connection, which tells the server. */
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
      this.abortWith(FaultCode.Timeout, `no answer within ${timeoutMs} ms`);
    });
  }

  private settle(result: Result<HttpResponse, Fault>): void {
    if (this.isSettled) return;
    this.isSettled = true;
    this.timeout?.cancel();
    this.request.signal?.removeEventListener('abort', this.cancel);
    this.resolve(result);
  }
}

const errNotRun = (request: HttpRequest, code: FaultCode, message: string): Result<never, Fault> =>
  err({ code, outcome: Outcome.NotRun, step: request.step, peer: request.peer, message });

/** Sends a request and resolves with any complete answer, whatever its status. */
export const sendRequest = async (
  pools: ConnectionPools,
  timer: Timer,
  request: HttpRequest,
): Reply<HttpResponse> => {
  if (request.signal?.aborted === true) {
    return errNotRun(request, FaultCode.Cancelled, 'cancelled before it was sent');
  }
  const connection = pools.acquire(request.address);
  if (connection === undefined) {
    return errNotRun(request, FaultCode.Overloaded, `no connection to ${request.peer} is free`);
  }
  const { method, path, headers, body } = request;
  const answer = await new Promise<Result<HttpResponse, Fault>>((resolve) => {
    const handler = new RequestHandler(request, timer, resolve);
    connection.pool.dispatch({ method, path, headers, body, blocking: false }, handler);
  });
  connection.release();
  return answer;
};
