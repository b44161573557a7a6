/** Formats results as lines of key=value pairs with the spread over seeds. */
import { computeSpread, type Spread } from './statistics.js';

/** Figures of one run with one seed. */
export type Figures = Record<string, number>;

export type FigureValue = string | number | boolean | Spread;

/** One line of the report. */
export interface ReportLine {
  case: string;
  fields: Record<string, FigureValue>;
}

const formatNumber = (value: number): string => {
  if (!Number.isFinite(value)) return String(value);
  if (Number.isInteger(value)) return String(value);
  return Math.abs(value) >= 100 ? value.toFixed(1) : value.toFixed(3);
};

const formatValue = (value: FigureValue): string => {
  if (typeof value === 'number') return formatNumber(value);
  if (typeof value !== 'object') return String(value);
  const { median, least, greatest } = value;
  if (least === greatest) return formatNumber(median);
  return `${formatNumber(median)}[${formatNumber(least)}..${formatNumber(greatest)}]`;
};

/** Formats a line as `case=... key=value ...`; spreads as `median[least..greatest]`. */
export const formatReportLine = (line: ReportLine): string =>
  [
    `case=${line.case}`,
    ...Object.entries(line.fields).map(([key, value]) => `${key}=${formatValue(value)}`),
  ].join(' ');

/**
 * Merges the figures of several seeds into spreads; omits figures for which no seed has samples.
 */
export const mergeFigures = (runs: readonly Figures[]): Record<string, Spread> =>
  Object.fromEntries(
    Object.keys(runs[0] ?? {})
      .map((key) => [key, computeSpread(runs.map((run) => run[key]!))] as const)
      .filter(([, spread]) => !Number.isNaN(spread.median)),
  );
