/** Non-blocking, rate-limited log output to a file descriptor. */
import SonicBoom from 'sonic-boom';
import type { Timer } from '@jujubelanding/timer';
import { formatLine, type Log, type LogValue } from './log.js';

/** Rate limit for ordinary request events; at present an entry VM serves about ten requests per second. */
const ORDINARY_LINES_PER_SECOND = 60;

/** Rate limit for all other events. */
const NOTABLE_LINES_PER_SECOND = 300;

/** Output buffered for a slow reader; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Lines are written in batches of this size, or after this interval. */
const WRITE_BYTES = 8192;
const WRITE_INTERVAL_MS = 250;

const SECOND_MS = 1000;

/** Outcomes of events that count as ordinary, because nobody has to explain them afterwards. */
const ORDINARY_OUTCOMES: ReadonlySet<LogValue> = new Set(['answered', 'completed']);

/** Events that are logged for every request. */
const ORDINARY_EVENTS = new Set(['route']);

const isOrdinary = (event: string, fields: Record<string, LogValue>): boolean =>
  ORDINARY_EVENTS.has(event) || ORDINARY_OUTCOMES.has(fields.outcome);

export interface StreamLog {
  createLog: (part: string) => Log;
  /** Writes all buffered lines; call it before the process exits. */
  flush(): void;
}

export const openStreamLog = (
  timer: Timer,
  fd: number,
  context: Record<string, LogValue>,
): StreamLog => {
  const destination = new SonicBoom({
    fd,
    sync: false,
    minLength: WRITE_BYTES,
    periodicFlush: WRITE_INTERVAL_MS,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let droppedLines = 0;
  let ordinaryLines = 0;
  let notableLines = 0;
  const writeLine = (event: string, fields: Record<string, LogValue>): void => {
    const time = new Date(timer.wallClock()).toISOString();
    destination.write(`time=${time} ${formatLine(event, { ...context, ...fields })}\n`);
  };
  destination.on('drop', () => {
    droppedLines += 1;
  });
  // An error of the log output itself cannot be logged.
  destination.on('error', () => {});
  timer.every(SECOND_MS, () => {
    if (droppedLines > 0) writeLine('lines-left-out', { count: droppedLines });
    droppedLines = 0;
    ordinaryLines = 0;
    notableLines = 0;
  });
  const admit = (event: string, fields: Record<string, LogValue>): boolean => {
    if (!isOrdinary(event, fields)) {
      notableLines += 1;
      return notableLines <= NOTABLE_LINES_PER_SECOND;
    }
    ordinaryLines += 1;
    return ordinaryLines <= ORDINARY_LINES_PER_SECOND;
  };
  return {
    createLog: (part) => ({
      write: (event, fields = {}) => {
        if (admit(event, fields)) writeLine(event, { part, ...fields });
        else droppedLines += 1;
      },
    }),
    flush: () => {
      try {
        destination.flushSync();
      } catch {
        // The output is closed or its reader is stuck; the process exits without the last lines.
      }
    },
  };
};
