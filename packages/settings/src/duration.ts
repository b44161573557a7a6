/** Durations, written as a whole number with a unit. */
import { err, ok, type Result } from 'neverthrow';

/** Units from the smallest to the largest. */
const UNIT_MS: Record<string, number> = {
  ms: 1,
  s: 1000,
  m: 60_000,
  h: 3_600_000,
  d: 86_400_000,
};

export const DURATION_UNITS = Object.keys(UNIT_MS).join(', ');

const DURATION_PATTERN = /^(\d{1,12})(ms|s|m|h|d)$/;

/** Parses `500ms`, `30s`, `10m`, `24h` or `7d` into milliseconds. */
export const parseDuration = (text: string): Result<number, string> => {
  const match = DURATION_PATTERN.exec(text);
  if (match === null) return err(`expected a whole number with a unit (${DURATION_UNITS})`);
  return ok(Number(match[1]) * UNIT_MS[match[2]!]!);
};

/** Formats milliseconds in the largest unit that divides them. */
export const formatDuration = (durationMs: number): string => {
  const [unit, unitMs] = Object.entries(UNIT_MS).findLast(
    ([, size]) => durationMs !== 0 && durationMs % size === 0,
  ) ?? ['ms', 1];
  return `${durationMs / unitMs}${unit}`;
};
