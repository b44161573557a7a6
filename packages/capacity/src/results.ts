/** Runs all measurements and collects their results. */
import type { Point } from './fit.js';
import { measureClaims } from './measure/claims.js';
import { measureConfiguration } from './measure/configuration.js';
import { measureJobs } from './measure/jobs.js';
import {
  measureKeyValue,
  measureLosses,
  type FleetCounts,
  type LossCounts,
} from './measure/key-value.js';
import { measureLimits } from './measure/limits.js';
import { measureMembership } from './measure/membership.js';
import { measureOnlineNotices } from './measure/notices.js';
import { measureProgress } from './measure/progress.js';
import { measureProxy } from './measure/proxy.js';
import { measureRouting } from './measure/routing.js';
import { measureShards } from './measure/shards.js';
import { measureTransport } from './measure/transport.js';
import type { MeasurementOptions, Series } from './series.js';

export interface Results {
  seed: number;
  quick: boolean;
  node: string;
  /** Resident memory with all modules loaded, before any measurement. */
  baselineBytes: number;
  series: Series[];
  keyValue: FleetCounts[];
  losses: LossCounts[];
  /** Largest relative difference of a point from an earlier run, by series. */
  spread?: Record<string, number>;
}

const MEASUREMENTS: ((options: MeasurementOptions) => Promise<Series[]>)[] = [
  measureTransport,
  measureRouting,
  measureProxy,
  measureLimits,
  measureJobs,
  measureClaims,
  measureConfiguration,
  measureShards,
  measureOnlineNotices,
  measureProgress,
  measureMembership,
];

/** Runs all measurements; calls `onSeries` with each series as soon as it is measured. */
export const measureAll = async (
  options: MeasurementOptions,
  onSeries: (series: Series) => void,
): Promise<Results> => {
  const baselineBytes = process.memoryUsage().rss;
  const series: Series[] = [];
  for (const measure of MEASUREMENTS) {
    const measured = await measure(options);
    measured.forEach(onSeries);
    series.push(...measured);
  }
  const keyValue = await measureKeyValue(options);
  const losses = await measureLosses(options);
  return { ...options, node: process.version, baselineBytes, series, keyValue, losses };
};

const computeDifferences = (points: readonly Point[], earlier: readonly Point[]): number[] =>
  points.flatMap(({ size, value }) => {
    const other = earlier.find((point) => point.size === size)?.value;
    if (other === undefined) return [];
    return [Math.abs(value - other) / Math.max(Math.abs(value), Math.abs(other), 1e-12)];
  });

/**
 * Computes the largest relative difference per series between two runs, at the sizes that both
 * have.
 */
export const computeSpread = (results: Results, earlier: Results): Record<string, number> =>
  Object.fromEntries(
    results.series.flatMap(({ id, points }) => {
      const before = earlier.series.find((series) => series.id === id);
      const differences = computeDifferences(points, before?.points ?? []);
      return differences.length === 0 ? [] : [[id, Math.max(...differences)] as const];
    }),
  );
