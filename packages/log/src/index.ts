/** One line of key=value pairs for each event. */
export { createLog, enableLogs, formatLine, silentLog, type Log, type LogValue } from './log.js';
export { openStreamLog, type StreamLog } from './stream-log.js';
