/**
 * Order in which batch items get slots. The pattern is an outage or an overload after which not all items
 * can be done in time: strictly by due time, the ones that are late anyway would make all others late too.
 */

/** Added to the due time of items that will be late; larger than any due time of a job. */
const LATE_ITEM_OFFSET_MS = 24 * 3_600_000;

/** Weight of the latest sample in the estimates. */
const SAMPLE_WEIGHT = 0.2;

/** Shorter runs say little about the time between events. */
const MIN_SAMPLE_EVENTS = 10;

/** Learns how long items run. */
export class RunTimeEstimator {
  private eventsPerItem: number | undefined;

  private msPerEvent: number | undefined;

  recordRun(events: number, durationMs: number): void {
    if (events < MIN_SAMPLE_EVENTS) return;
    this.msPerEvent = this.smooth(this.msPerEvent, durationMs / events);
  }

  recordItem(events: number): void {
    this.eventsPerItem = this.smooth(this.eventsPerItem, events);
  }

  /** Time that an item still runs; 0 while nothing is known. */
  remainingMs(events: number): number {
    const { eventsPerItem = 0, msPerEvent = 0 } = this;
    return Math.max(0, eventsPerItem - events) * msPerEvent;
  }

  private smooth(previous: number | undefined, sample: number): number {
    return previous === undefined ? sample : previous + SAMPLE_WEIGHT * (sample - previous);
  }
}

/** Due time by which an item is ordered: items that will be late come after all others. */
export const computeEffectiveDueAt = (dueAt: number, now: number, remainingMs: number): number =>
  now + remainingMs > dueAt ? dueAt + LATE_ITEM_OFFSET_MS : dueAt;
