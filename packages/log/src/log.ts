/** Formats events as lines of key=value pairs and writes them through debug. */
import createDebug from 'debug';

export type LogValue = string | number | boolean | undefined | readonly (string | number)[];

/** Writes the events of one component. */
export interface Log {
  write(event: string, fields?: Record<string, LogValue>): void;
}

const NEEDS_QUOTES = /[\s"=]/;

const formatValue = (value: Exclude<LogValue, undefined>): string => {
  const text = Array.isArray(value) ? value.join(',') : String(value);
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
};

/** Formats an event as one line; undefined fields are omitted. */
export const formatLine = (event: string, fields: Record<string, LogValue> = {}): string => {
  const pairs = Object.entries(fields)
    .filter((pair): pair is [string, Exclude<LogValue, undefined>] => pair[1] !== undefined)
    .map(([key, value]) => `${key}=${formatValue(value)}`);
  return [`event=${event}`, ...pairs].join(' ');
};

/** Creates the log of a component; its namespace is enabled with the DEBUG environment variable. */
export const createLog = (part: string): Log => {
  const debug = createDebug(`jujubelanding:${part}`);
  return {
    write: (event, fields) => {
      if (debug.enabled) debug('%s', formatLine(event, { part, ...fields }));
    },
  };
};

/** A log that discards all events. */
export const silentLog: Log = { write: () => {} };

/** Enables the selected namespaces, in the syntax of the DEBUG environment variable. */
export const enableLogs = (selection: string): void => createDebug.enable(selection);
