/** Passes a worker's answer on to the caller. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { ResponseHandler, HeaderFields, WorkerResponse } from '@jujubelanding/platform';
import { RouteKind, type Route } from '@jujubelanding/route-table';
import type { CallerExchange } from './caller-exchange.js';
import { EventFramer, type FramedEvent } from './event-framer.js';

/** Answers up to this size reach the caller whole or not at all. */
const MAX_HELD_BYTES = 256 * 1024;

const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;

const isSuccess = (status: number): boolean => status >= FIRST_SUCCESS && status < FIRST_REDIRECT;

const isEventStream = (headers: HeaderFields): boolean =>
  String(headers['content-type'] ?? '').startsWith('text/event-stream');

/**
 * Events are passed on as they arrive, each whole; any other answer is held until it is complete, so
 * that a truncated one can be tried again. One relay serves all attempts of a request.
 */
export class AnswerRelay implements ResponseHandler {
  private answer: WorkerResponse | undefined;

  private held: Buffer[] = [];

  private heldBytes = 0;

  private framer = new EventFramer();

  private isStream = false;

  private lastId: number | undefined;

  private problem: string | undefined;

  private isBlocked = false;

  private resumeWorker: () => void = () => {};

  constructor(
    private readonly exchange: CallerExchange,
    private readonly route: Route,
    private readonly onFirstBytes: () => void,
  ) {}

  /** Id after which another worker continues the stream. */
  get lastEventId(): string | undefined {
    return this.lastId === undefined ? undefined : String(this.lastId);
  }

  get canResume(): boolean {
    return this.isStream && this.lastId !== undefined;
  }

  readonly onStart = (answer: WorkerResponse, resume: () => void): void => {
    this.answer = answer;
    this.resumeWorker = resume;
    this.isStream =
      this.route.kind === RouteKind.Streaming &&
      isSuccess(answer.status) &&
      isEventStream(answer.headers);
  };

  readonly onChunk = (chunk: Buffer): boolean => {
    if (this.isStream) return this.passEvents(chunk);
    this.onFirstBytes();
    if (this.exchange.hasStarted()) {
      this.send(chunk);
      return true;
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes > MAX_HELD_BYTES) this.release();
    return true;
  };

  readonly isPaused = (): boolean => this.isBlocked;

  /** Prepares for the answer of another worker. */
  reset(): void {
    this.answer = undefined;
    this.held = [];
    this.heldBytes = 0;
    this.framer = new EventFramer();
    this.problem = undefined;
  }

  /** Returns what is wrong with an answer that has ended. */
  check(): Fault | undefined {
    if (this.isStream && this.framer.isInsideEvent) this.problem ??= 'ended inside an event';
    if (this.problem === undefined) return undefined;
    return {
      code: FaultCode.InvalidStream,
      outcome: Outcome.OutcomeUnknown,
      step: 'relay',
      message: `the answer ${this.problem}`,
    };
  }

  /** Completes the answer to the caller. */
  finish(): void {
    if (this.exchange.hasStarted()) {
      this.exchange.end();
    } else if (this.answer !== undefined) {
      const { status, headers } = this.answer;
      this.exchange.respond(status, headers, Buffer.concat(this.held));
    }
  }

  private passEvents(chunk: Buffer): boolean {
    const events = this.framer.push(chunk);
    if (events === undefined) {
      this.problem = 'has an event that is too long';
      return false;
    }
    return events.every((event) => this.passEvent(event));
  }

  private passEvent({ id, bytes }: FramedEvent): boolean {
    if (id !== undefined && this.lastId !== undefined && id !== this.lastId + 1) {
      this.problem = `continues with event ${id} after event ${this.lastId}`;
      return false;
    }
    this.lastId = id ?? this.lastId;
    this.onFirstBytes();
    if (!this.exchange.hasStarted() && this.answer !== undefined) this.begin(this.answer);
    this.send(bytes);
    return true;
  }

  private begin({ status, headers }: WorkerResponse): void {
    this.exchange.start(status, headers);
  }

  private release(): void {
    if (this.answer !== undefined) this.begin(this.answer);
    this.held.forEach((chunk) => this.send(chunk));
    this.held = [];
  }

  private send(bytes: Buffer): void {
    if (this.exchange.write(bytes) || this.isBlocked) return;
    this.isBlocked = true;
    this.exchange.onDrain(() => {
      this.isBlocked = false;
      this.resumeWorker();
    });
  }
}
