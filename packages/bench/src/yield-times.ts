/** Measures the time that batch work takes to free slots for bursts of online requests. */
import type { SlotExcess, MeteredEngine } from './metered-engine.js';
import type { Burst } from './online-load.js';

/** Maximum time from the arrival of a request until it reaches its engine, unless it is retried. */
const MAX_DISPATCH_DELAY_MS = 20;

type BurstMeasurements = Pick<MeteredEngine, 'burstsHit' | 'excesses'>;

const isOverlapping = (excess: SlotExcess, { from, to }: Burst): boolean =>
  excess.endedAt > from && excess.startedAt <= to + MAX_DISPATCH_DELAY_MS;

/**
 * Returns for each burst the time from its first request to the end of the last excess on an engine
 * that it reached, among excesses that begin before its last request has reached an engine; 0 if there
 * is none.
 */
export const measureYieldTimes = (
  engines: readonly BurstMeasurements[],
  bursts: readonly Burst[],
): number[] =>
  bursts.map((burst) => {
    const yieldTimes = engines
      .filter(({ burstsHit }) => burstsHit.has(burst.index))
      .flatMap(({ excesses }) => excesses.filter((excess) => isOverlapping(excess, burst)))
      .map(({ endedAt }) => endedAt - burst.from);
    return Math.max(0, ...yieldTimes);
  });
