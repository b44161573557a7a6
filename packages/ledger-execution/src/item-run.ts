import { StringDecoder } from 'node:string_decoder';
import { createParser, type EventSourceParser } from 'eventsource-parser';
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { ItemProgress, ItemRequest, Job, JobItem } from '@jujubelanding/batch-ledger';
import { selectEndToEndHeaders } from '@jujubelanding/http-fields';
import {
  isEventStream,
  MAX_VALUE_BYTES,
  type ResponseHandler,
  type RequestForwarder,
  type WorkerFault,
  type WorkerResponse,
} from '@jujubelanding/platform';
import type { Subscription, Timer } from '@jujubelanding/timer';
import type { Worker } from '@jujubelanding/types';

/**
 * Timeout between events, after which a worker counts as lost. A slow worker sends an event every
 * 130 ms.
 */
const EVENT_TIMEOUT_MS = 1200;

/**
 * Timeout for the first event. Items are sent to free slots only, where the first event takes 100 ms.
 */
const FIRST_EVENT_TIMEOUT_MS = 1500;

/** Maximum number of bytes without a complete event. */
const MAX_EVENT_BYTES = 256 * 1024;

/** The empty line after an event. */
const EVENT_END = /\n\r?\n$/;

/** Number of characters that {@link EVENT_END} needs. */
const EVENT_END_LENGTH = 3;

const NO_EVENTS = 'the stream has no events';

const SUCCESS = 200;
const UNPROCESSABLE_CONTENT = 422;
const MIN_ERROR_STATUS = 400;

export enum RunOutcome {
  Completed = 'completed',
  /** The worker rejected the item permanently; no run can succeed. */
  Impossible = 'impossible',
  /** HTTP cannot carry the request of the item, so that no run can begin. */
  Unsendable = 'unsendable',
  /** The worker ran the item and failed. */
  Failed = 'failed',
  /** The worker did not run the item. */
  Refused = 'refused',
  /** The worker was lost or its response ended early; received events are kept. */
  Interrupted = 'interrupted',
  /** Cancelled by this VM; received events are kept. */
  Cancelled = 'cancelled',
}

/** Outcomes that tell whether a worker serves; the others depend on its load or on this VM. */
export const FAILURE_BY_OUTCOME: Partial<Record<RunOutcome, boolean>> = {
  [RunOutcome.Completed]: false,
  [RunOutcome.Impossible]: false,
  [RunOutcome.Failed]: true,
  [RunOutcome.Interrupted]: true,
};

export interface RunResult {
  outcome: RunOutcome;
  fault?: WorkerFault | undefined;
  firstEventMs?: number | undefined;
  /** Number of events received in this run. */
  events: number;
  durationMs: number;
}

export interface ItemRunOptions {
  /** Id of the grant under which the item runs. */
  runId: string;
  timer: Timer;
  backends: RequestForwarder;
  worker: Worker;
  job: Job;
  item: JobItem & ItemRequest;
  /** Updated as events arrive. */
  progress: ItemProgress;
  remainingMs: number;
  onFirstEvent: () => void;
  /** Called for each event. */
  onEvent: () => void;
}

/** One run of an item on a worker; resumes after the events already received. */
export class ItemRun implements ResponseHandler {
  readonly startedAt: number;

  private readonly abort = new AbortController();

  private readonly parser: EventSourceParser;

  /** Keeps the bytes of a character that a chunk ends within. */
  private readonly decoder = new StringDecoder('utf8');

  private status: number | undefined;

  private isCancelled = false;

  private streamError: string | undefined;

  private eventTimeout: Subscription | undefined;

  private firstEventAt: number | undefined;

  /** Last characters of the stream. */
  private tail = '';

  /** Characters of all events; a longer output could not be stored. */
  private outputLength: number;

  /** Bytes received since the last complete event. */
  private pendingBytes = 0;

  constructor(private readonly options: ItemRunOptions) {
    this.startedAt = options.timer.now();
    this.outputLength = options.progress.events.reduce((sum, { length }) => sum + length, 0);
    this.parser = createParser({ onEvent: ({ id, data }) => this.addEvent(id, data) });
  }

  get runId(): string {
    return this.options.runId;
  }

  get worker(): Worker {
    return this.options.worker;
  }

  async run(): Promise<RunResult> {
    const { backends, worker, job, item, progress, remainingMs, timer } = this.options;
    const eventsBefore = progress.events.length;
    this.restartEventTimeout(FIRST_EVENT_TIMEOUT_MS);
    const reply = await backends.forward(
      worker,
      {
        requestId: item.id,
        method: 'POST',
        target: item.target,
        host: job.host,
        // Jobs that earlier versions accepted have all headers.
        headers: selectEndToEndHeaders(item.headers),
        ...(job.team === undefined ? {} : { team: { name: job.team } }),
        body: Buffer.from(item.body, 'base64'),
        remainingMs,
        resumeAfter: progress.lastEventId,
      },
      this,
      this.abort.signal,
    );
    this.eventTimeout?.cancel();
    const firstEventMs =
      this.firstEventAt === undefined ? undefined : this.firstEventAt - this.startedAt;
    const fault = reply.isErr() ? reply.error : this.createFault(eventsBefore);
    const events = progress.events.length - eventsBefore;
    const durationMs = timer.now() - this.startedAt;
    return { outcome: this.classifyOutcome(fault), fault, firstEventMs, events, durationMs };
  }

  /** Closes the connection, which makes the worker stop the run. */
  cancel(): void {
    this.isCancelled = true;
    this.abort.abort();
  }

  readonly onStart = ({ status, headers }: WorkerResponse): void => {
    this.status = status;
    if (status === SUCCESS && !isEventStream(headers)) {
      this.streamError = 'the answer is no event stream';
    }
  };

  readonly onChunk = (chunk: Buffer): boolean => {
    if (this.streamError !== undefined) return false;
    this.pendingBytes += chunk.length;
    if (this.pendingBytes > MAX_EVENT_BYTES) {
      this.streamError = `${this.pendingBytes} bytes without a complete event`;
      return false;
    }
    if (this.status !== SUCCESS) return true;
    const text = this.decoder.write(chunk);
    this.tail = (this.tail + text).slice(-EVENT_END_LENGTH);
    this.parser.feed(text);
    return this.streamError === undefined;
  };

  private addEvent(id: string | undefined, data: string): void {
    // The same chunk may hold more events after an invalid one.
    if (this.streamError !== undefined) return;
    const { progress, timer } = this.options;
    const last = progress.lastEventId;
    if (id !== undefined && last !== undefined && Number(id) !== Number(last) + 1) {
      this.streamError = `event ${id} follows event ${last}`;
      return;
    }
    this.outputLength += data.length;
    if (this.outputLength > MAX_VALUE_BYTES) {
      this.streamError = `the output is longer than ${MAX_VALUE_BYTES} characters`;
      return;
    }
    this.pendingBytes = 0;
    if (this.firstEventAt === undefined) this.options.onFirstEvent();
    this.firstEventAt ??= timer.now();
    this.options.onEvent();
    progress.events.push(data);
    progress.lastEventId = id ?? last;
    this.restartEventTimeout(EVENT_TIMEOUT_MS);
  }

  private restartEventTimeout(delayMs: number): void {
    this.eventTimeout?.cancel();
    this.eventTimeout = this.options.timer.after(delayMs, () => {
      this.streamError = `no event within ${delayMs} ms`;
      this.abort.abort();
    });
  }

  /**
   * Returns what is wrong with a stream that has ended. One without a length ends with its connection, also
   * when the worker crashes.
   */
  private findStreamError(eventsBefore: number): string | undefined {
    if (this.streamError !== undefined || this.status !== SUCCESS) return this.streamError;
    const { events } = this.options.progress;
    if (events.length === 0 && eventsBefore === 0) return NO_EVENTS;
    if (this.tail !== '' && !EVENT_END.test(this.tail)) return 'the stream ends inside an event';
    return undefined;
  }

  private createFault(eventsBefore: number): Fault | undefined {
    this.streamError = this.findStreamError(eventsBefore);
    if (this.streamError === undefined) return undefined;
    const { worker } = this.options;
    return {
      code: this.streamError === NO_EVENTS ? FaultCode.Interrupted : FaultCode.InvalidStream,
      outcome: Outcome.OutcomeUnknown,
      step: 'run-item',
      peer: worker.id,
      message: this.streamError,
    };
  }

  private classifyOutcome(fault: Fault | undefined): RunOutcome {
    const { status } = this;
    if (fault !== undefined) {
      if (this.isCancelled) return RunOutcome.Cancelled;
      if (fault.outcome !== Outcome.NotRun) return RunOutcome.Interrupted;
      const isUnsendable = fault.code === FaultCode.InvalidInput;
      return isUnsendable ? RunOutcome.Unsendable : RunOutcome.Refused;
    }
    if (status === SUCCESS) return RunOutcome.Completed;
    if (status === UNPROCESSABLE_CONTENT) return RunOutcome.Impossible;
    return (status ?? 0) >= MIN_ERROR_STATUS ? RunOutcome.Failed : RunOutcome.Interrupted;
  }
}
