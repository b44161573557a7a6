import type { HeaderFields } from '@jujubelanding/platform';
import type { Team } from '@jujubelanding/teams';

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
  /** Headers that say who sends the request; forwarded only in a configuration without teams. */
  identityHeaders: HeaderFields;
  /** Key of the caller's team, if one was sent. */
  key?: string | undefined;
  /** True once the caller was identified in a configuration with teams. */
  isTeamRequired?: boolean;
  /** Team of the caller; set once its key has been verified. */
  team?: Team;
  body: Buffer;
  /** Monotonic time of arrival. */
  arrivedAt: number;
  /** Time that the caller waits for a response, in milliseconds from arrival. */
  waitMs?: number | undefined;
  /** Id of the last event that the caller has received. */
  resumeAfter?: string | undefined;
  /**
   * Ids of the prompt's leading parts, those shared with most requests first; each stands for the
   * prefix up to and including its part.
   */
  promptPrefixes: string[];
}

/** A caller's request, and methods to respond to it. */
export interface CallerExchange {
  request: InboundRequest;
  /** Aborted if the caller disconnects before the end of the response. */
  signal: AbortSignal;
  /** True once the response has begun. */
  hasStarted(): boolean;
  start(status: number, headers: HeaderFields): void;
  /** Returns false under backpressure, while the caller reads more slowly than data is written. */
  write(chunk: Buffer): boolean;
  /** Calls the handler once the written data has been drained. */
  onDrain(handler: () => void): void;
  end(): void;
  /** Sends a complete response. */
  respond(status: number, headers: HeaderFields, body: string | Buffer): void;
  /** Closes the connection, so that an incomplete response does not appear complete. */
  abort(): void;
}
