/** Time that batch work takes to leave room for online bursts. */
import type { SlotExcess, MeteredEngine } from './metered-engine.js';
import type { Burst } from './online-load.js';

/** A request reaches its engine this long after its arrival at the latest, unless it is retried. */
const MAX_DISPATCH_DELAY_MS = 20;

type BurstMeasurements = Pick<MeteredEngine, 'burstsHit' | 'excesses'>;

const isOverlapping = (excess: SlotExcess, { from, to }: Burst): boolean =>
  excess.endedAt > from && excess.startedAt <= to + MAX_DISPATCH_DELAY_MS;

/**
 * For each burst the time from its first request until no engine that it hit holds more batch
 * streams than online requests leave room for; 0 when there was room all the time.
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
