/** Parses the log lines of entry VMs, which consist of key=value pairs. */

export interface LogLine {
  vm: string;
  event: string;
  /** Milliseconds since the epoch by the clock of the VM. */
  time: number;
  fields: Readonly<Record<string, string>>;
}

const PAIR_PATTERN = /([A-Za-z][A-Za-z0-9]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

const unquote = (text: string): string => {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    // The line is truncated; the incomplete value is still useful.
    return text;
  }
};

/** Parses a line; a prefix that a log collector has added before the first pair is skipped. */
export const parseLogLine = (line: string): LogLine | undefined => {
  const fields = Object.fromEntries(
    [...line.matchAll(PAIR_PATTERN)].map(([, key, value]) => [key!, unquote(value!)]),
  );
  const { time: timestamp, event, vm, ...rest } = fields;
  const time = Date.parse(timestamp ?? '');
  if (event === undefined || vm === undefined || Number.isNaN(time)) return undefined;
  return { vm, event, time, fields: rest };
};
