import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';

/** The connection in use by a client. */
export interface Connection {
  socket: Socket | undefined;
  /** True if the connection has ended before its request was sent. */
  hasEndedEarly: boolean;
  /** Continues the response in progress if its reader has paused it. */
  resume: () => void;
}

type Handlers = Required<Dispatcher.DispatchHandlers>;

/**
 * A response without a length ends with its connection, and undici completes it also if the connection
 * fails. While the connection is open, a response has ended by its length or its last chunk. A reset before
 * the whole request was sent cannot be told from an orderly end.
 */
const isEndProven = ({ socket, hasEndedEarly }: Connection): boolean => {
  if (socket === undefined || socket.errored !== null || hasEndedEarly) return false;
  return !socket.destroyed || socket.readableEnded;
};

/** Statuses outside of this range are invalid (RFC 9110, section 15). */
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Passes the events of a request on, and completes its response only if the end of it is proven. */
export class ResponseHandler implements Dispatcher.DispatchHandlers {
  private abort: (error: Error) => void = () => {};

  private isConnected = false;

  private hasFailed = false;

  constructor(
    private readonly handler: Dispatcher.DispatchHandlers,
    private readonly connection: Connection,
  ) {}

  /** True if the request has failed before it got a connection. */
  get isRefused(): boolean {
    return this.hasFailed && !this.isConnected;
  }

  onConnect(...args: Parameters<Handlers['onConnect']>): void {
    this.isConnected = true;
    [this.abort] = args;
    this.handler.onConnect?.(...args);
  }

  onError(error: Error): void {
    this.hasFailed = true;
    this.handler.onError?.(error);
  }

  onUpgrade(...args: Parameters<Handlers['onUpgrade']>): void {
    this.handler.onUpgrade?.(...args);
  }

  onResponseStarted(): void {
    this.handler.onResponseStarted?.();
  }

  onHeaders(...args: Parameters<Handlers['onHeaders']>): boolean {
    const [status, , resume] = args;
    if (status < MIN_STATUS || status > MAX_STATUS) {
      this.abort(new Error(`the response has the invalid status ${status}`));
      return true;
    }
    this.connection.resume = resume;
    return this.handler.onHeaders?.(...args) ?? true;
  }

  onData(chunk: Buffer): boolean {
    // A response that is continued at the end of its connection gets an empty chunk, and must not pause.
    if (chunk.length === 0) return true;
    return this.handler.onData?.(chunk) ?? true;
  }

  onBodySent(...args: Parameters<Handlers['onBodySent']>): void {
    this.handler.onBodySent?.(...args);
  }

  onComplete(trailers: string[] | null): void {
    if (isEndProven(this.connection)) this.handler.onComplete?.(trailers);
    else this.onError(new Error('the connection failed before the end of the response'));
  }
}
