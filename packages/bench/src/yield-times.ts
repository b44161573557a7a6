/** Time that batch work takes to leave room for online bursts. */
import type { Excess, MeteredEngine } from './metered-engine.js';
import type { Burst } from './online-load.js';

/** A request reaches its engine this long after its arrival at the latest, unless it is retried. */
const DISPATCH_MS = 20;

type Hit = Pick<MeteredEngine, 'burstsHit' | 'excesses'>;

const overlaps = (excess: Excess, { from, to }: Burst): boolean =>
  excess.endedAt > from && excess.startedAt <= to + DISPATCH_MS;

/**
 * For each burst the time from its first request until no engine that it hit holds more batch
 * streams than online requests leave room for; 0 when there was room all the time.
 */
export const measureYieldTimes = (engines: readonly Hit[], bursts: readonly Burst[]): number[] =>
  bursts.map((burst) => {
    const ends = engines
      .filter(({ burstsHit }) => burstsHit.has(burst.index))
      .flatMap(({ excesses }) => excesses.filter((excess) => overlaps(excess, burst)))
      .map(({ endedAt }) => endedAt - burst.from);
    return Math.max(0, ...ends);
  });
