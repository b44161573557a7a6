/** Lines of key=value pairs that entry VMs write. */

export interface LogLine {
  vm: string;
  event: string;
  /** Epoch milliseconds by the clock of the VM. */
  time: number;
  fields: Readonly<Record<string, string>>;
}

const PAIR_PATTERN = /([A-Za-z][A-Za-z0-9]*)=("(?:[^"\\]|\\.)*"|\S*)/g;

const unquote = (text: string): string => {
  if (!text.startsWith('"')) return text;
  try {
    return String(JSON.parse(text));
  } catch {
    // A line that was cut off; what there is of it still helps.
    return text;
  }
};

/** Reads a line; whatever a collector has put before its first pair is skipped. */
export const parseLogLine = (line: string): LogLine | undefined => {
  const fields = Object.fromEntries(
    [...line.matchAll(PAIR_PATTERN)].map(([, key, value]) => [key!, unquote(value!)]),
  );
  const { time: timestamp, event, vm, ...rest } = fields;
  const time = Date.parse(timestamp ?? '');
  if (event === undefined || vm === undefined || Number.isNaN(time)) return undefined;
  return { vm, event, time, fields: rest };
};
