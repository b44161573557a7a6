import type { HeaderFields } from '@jujubelanding/platform';

/** A request as received, with its complete body. */
export interface InboundRequest {
  /** Id of the caller's attempt. */
  requestId: string;
  method: string;
  /** Path and query string. */
  target: string;
  host: string;
  /** Headers to forward, by lowercase name. */
  headers: HeaderFields;
  body: Buffer;
  /** Monotonic time of arrival. */
  arrivedAt: number;
  /** Time that the caller waits for an answer, in milliseconds from arrival. */
  waitMs?: number | undefined;
  /** Id of the last event that the caller has received. */
  resumeAfter?: string | undefined;
  /** Ids of the leading parts of the prompt, parts shared with other requests first. */
  promptPrefixes: string[];
}

/** A caller's request, and methods to answer it. */
export interface CallerExchange {
  request: InboundRequest;
  /** Aborted if the caller disconnects before the end of the answer. */
  signal: AbortSignal;
  /** True once the answer has begun. */
  hasStarted(): boolean;
  start(status: number, headers: HeaderFields): void;
  /** Returns false under backpressure, while the caller reads more slowly than data is written. */
  write(chunk: Buffer): boolean;
  /** Calls the handler once the written data has been drained. */
  onDrain(handler: () => void): void;
  end(): void;
  /** Sends a complete answer. */
  respond(status: number, headers: HeaderFields, body: string | Buffer): void;
  /** Closes the connection, so that an incomplete answer does not appear complete. */
  abort(): void;
}
