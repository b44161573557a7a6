/** Log lines and counters of what the server refuses before a handler sees it. */
import type { Log, LogValue } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { Timer } from '@jujubelanding/timer';

export enum RefusalReason {
  BodyTooLarge = 'body-too-large',
  /** The memory for callers is used up, and this body had received least for longest. */
  BodyDropped = 'body-dropped',
  /** No byte of the body has arrived for some time. */
  BodyStalled = 'body-stalled',
  /** The head of a request has begun and does not end. */
  HeadStalled = 'head-stalled',
  /** An idle connection was closed for a new one. */
  IdleClosed = 'idle-closed',
  /** There are too many connections, and none of them is idle. */
  ConnectionRefused = 'connection-refused',
  /** Too many requests of one connection wait for the response to an earlier one. */
  TooManyWaiting = 'too-many-waiting',
  /** The memory for callers is used up, and this response was read least for longest. */
  UnreadDropped = 'unread-dropped',
  /** Nothing of this response was read for some time. */
  UnreadStalled = 'unread-stalled',
  /** There is no memory to accept a batch job. */
  BatchJob = 'batch-job',
}

/** Label of the listener for callers. */
const CALLERS = 'callers';

/** Lines within one interval; further refusals are counted in the next line. */
const MAX_LINES = 10;

const INTERVAL_MS = 1000;

export interface CallerRefusalsOptions {
  timer: Pick<Timer, 'now'>;
  log: Log;
  metrics: Pick<Metrics, 'increment'> | undefined;
  /** Name of a listener other than the one for callers. */
  listener?: string;
}

export class CallerRefusals {
  private intervalStart = -Infinity;

  private lines = 0;

  private omitted = 0;

  constructor(private readonly options: CallerRefusalsOptions) {}

  record(reason: RefusalReason, fields: Record<string, LogValue> = {}): void {
    const { timer, log, metrics, listener } = this.options;
    metrics?.increment('ingress.refused', { reason, listener: listener ?? CALLERS });
    const now = timer.now();
    if (now - this.intervalStart >= INTERVAL_MS) {
      this.intervalStart = now;
      this.lines = 0;
    }
    if (this.lines >= MAX_LINES) {
      this.omitted += 1;
      return;
    }
    this.lines += 1;
    const omitted = this.omitted === 0 ? undefined : this.omitted;
    this.omitted = 0;
    log.write('caller-refused', { reason, listener, ...fields, omitted });
  }
}
