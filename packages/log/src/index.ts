/** Structured logging: each event is one line of key=value pairs. */
export { createLog, enableLogs, formatLine, silentLog, type Log, type LogValue } from './log.js';
export { openStreamLog, type StreamLog } from './stream-log.js';
