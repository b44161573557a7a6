/** Forwards a worker's response to the caller. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import {
  isEventStream,
  isSuccess,
  type ResponseHandler,
  type WorkerResponse,
} from '@jujubelanding/platform';
import { RouteKind, type Route } from '@jujubelanding/route-table';
import type { CallerExchange } from './caller-exchange.js';
import { EventFramer, type FramedEvent } from './event-framer.js';

/** Responses up to this size are buffered, so the caller gets them complete or not at all. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const TRUNCATED = 'ended inside an event';

/**
 * Forwards each event of an event stream once it is complete. Buffers any other response until it is
 * complete, so that a truncated one can be retried. One relay serves all attempts of a request: once the
 * response to the caller has begun, it goes on with events only, and no other response gets into it.
 */
export class ResponseRelay implements ResponseHandler {
  /** Status and headers of the worker's response. */
  private head: WorkerResponse | undefined;

  private bufferedChunks: Buffer[] = [];

  private bufferedBytes = 0;

  /** True once the buffer was sent before the end of the response. */
  private isFlushed = false;

  private framer = new EventFramer();

  private isStream = false;

  /** True if the worker was asked to continue a stream and answers something else. */
  private isMismatch = false;

  private lastNumericId: number | undefined;

  /** True once an event of any attempt has been forwarded. */
  private hasEvents = false;

  /** Fault in the format of the response, as the predicate of a message about it. */
  private formatError: string | undefined;

  private isBlocked = false;

  /** True once the caller has read too slowly, so that data of the worker had to wait. */
  hasPaused = false;

  private resumeWorker: () => void = () => {};

  constructor(
    private readonly exchange: CallerExchange,
    private readonly route: Route,
    private readonly onData: () => void,
  ) {}

  /** Id of the last forwarded event, after which another worker can continue the stream. */
  get lastEventId(): string | undefined {
    return this.lastNumericId === undefined ? undefined : String(this.lastNumericId);
  }

  /** True if another worker can continue the response after the last forwarded event. */
  get canResume(): boolean {
    return this.lastNumericId !== undefined;
  }

  readonly onStart = (response: WorkerResponse, resume: () => void): void => {
    this.head = response;
    this.resumeWorker = resume;
    this.isStream =
      this.route.kind === RouteKind.Streaming &&
      isSuccess(response.status) &&
      isEventStream(response.headers);
    this.isMismatch = !this.isStream && this.exchange.hasStarted();
    if (this.isMismatch) {
      this.formatError = `continues a stream with status ${response.status} and no events`;
    }
  };

  readonly onChunk = (chunk: Buffer): boolean => {
    if (this.isStream) return this.forwardEvents(chunk);
    if (this.isMismatch) return false;
    this.onData();
    if (this.isFlushed) {
      this.send(chunk);
      return true;
    }
    this.bufferedChunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) this.flushBuffer();
    return true;
  };

  /** True while the worker's response must not be read, because the caller reads too slowly. */
  readonly isPaused = (): boolean => this.isBlocked;

  /** Resets the state for the response of another worker. */
  reset(): void {
    this.head = undefined;
    this.bufferedChunks = [];
    this.bufferedBytes = 0;
    this.framer = new EventFramer();
    this.formatError = undefined;
  }

  /** True if the response ended inside an event, as it does when its worker crashes. */
  get isTruncated(): boolean {
    return this.formatError === TRUNCATED;
  }

  /** Returns a fault if the format of the response is invalid so far. */
  get formatFault(): Fault | undefined {
    if (this.formatError === undefined) return undefined;
    return {
      code: FaultCode.InvalidStream,
      outcome: Outcome.OutcomeUnknown,
      step: 'relay',
      message: `the answer ${this.formatError}`,
    };
  }

  /** Returns a fault if the response that has ended is invalid. */
  validate(): Fault | undefined {
    if (this.isStream && !this.hasEvents && this.exchange.request.resumeAfter === undefined) {
      // A stream without a length ends with its connection, also when the worker crashes.
      return {
        code: FaultCode.Interrupted,
        outcome: Outcome.OutcomeUnknown,
        step: 'relay',
        message: 'the answer ended before its first event',
      };
    }
    if (this.isStream && this.framer.hasPartialEvent) this.formatError ??= TRUNCATED;
    return this.formatFault;
  }

  /** Completes the response to the caller; sends it if it was buffered. */
  finish(): void {
    if (this.exchange.hasStarted()) {
      this.exchange.end();
    } else if (this.head !== undefined) {
      const { status, headers } = this.head;
      this.exchange.respond(status, headers, Buffer.concat(this.bufferedChunks));
    }
  }

  private forwardEvents(chunk: Buffer): boolean {
    const events = this.framer.push(chunk);
    if (events === undefined) {
      this.formatError = 'has an event that is too long';
      return false;
    }
    return events.every((event) => this.forwardEvent(event));
  }

  private forwardEvent({ id, bytes }: FramedEvent): boolean {
    if (id !== undefined && this.lastNumericId !== undefined && id !== this.lastNumericId + 1) {
      this.formatError = `continues with event ${id} after event ${this.lastNumericId}`;
      return false;
    }
    this.lastNumericId = id ?? this.lastNumericId;
    this.hasEvents = true;
    this.onData();
    if (!this.exchange.hasStarted() && this.head !== undefined) this.startResponse(this.head);
    this.send(bytes);
    return true;
  }

  private startResponse({ status, headers }: WorkerResponse): void {
    this.exchange.start(status, headers);
  }

  private flushBuffer(): void {
    this.isFlushed = true;
    if (this.head !== undefined) this.startResponse(this.head);
    this.bufferedChunks.forEach((chunk) => this.send(chunk));
    this.bufferedChunks = [];
  }

  private send(bytes: Buffer): void {
    if (this.exchange.write(bytes) || this.isBlocked) return;
    this.isBlocked = true;
    this.hasPaused = true;
    this.exchange.onDrain(() => {
      this.isBlocked = false;
      this.resumeWorker();
    });
  }
}
