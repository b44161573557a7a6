import type { HeaderFields } from '@jujubelanding/platform';

/** A request as it arrived, with its whole body. */
export interface InboundRequest {
  /** Id of the caller's attempt. */
  requestId: string;
  method: string;
  /** Path with query. */
  target: string;
  host: string;
  /** Headers to be forwarded, by lowercase name. */
  headers: HeaderFields;
  body: Buffer;
  /** Monotonic time at which the request arrived. */
  arrivedAt: number;
  /** Time for which the caller waits, in milliseconds from the arrival. */
  waitMs?: number | undefined;
  /** Id of the last event that the caller has. */
  resumeAfter?: string | undefined;
  /** Ids of the leading parts of the prompt, shared ones first. */
  promptParts: string[];
}

/** One request of a caller and the way to answer it. */
export interface CallerExchange {
  request: InboundRequest;
  /** Aborted when the caller has gone before the end of the answer. */
  signal: AbortSignal;
  /** True once the answer has begun. */
  hasStarted(): boolean;
  start(status: number, headers: HeaderFields): void;
  /** Returns false while the caller reads more slowly than it is sent to. */
  write(chunk: Buffer): boolean;
  /** Calls the handler when the caller has read what was written. */
  onDrain(handler: () => void): void;
  end(): void;
  /** Sends a whole answer. */
  respond(status: number, headers: HeaderFields, body: string | Buffer): void;
  /** Closes the connection, so that an unfinished answer does not look complete. */
  abort(): void;
}
