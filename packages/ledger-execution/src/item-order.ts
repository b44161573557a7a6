/**
 * Order in which batch items get slots. The pattern is an outage or an overload after which not all items
 * can be done in time: strictly by due time, the ones that are late anyway would make all others late too.
 */

/** Added to the due time of items that will be late; larger than any due time of a job. */
const LATE_MS = 24 * 3_600_000;

/** Weight of the latest sample in the estimates. */
const SAMPLE_WEIGHT = 0.2;

/** Shorter runs say little about the time between events. */
const MIN_EVENTS = 10;

/** Learns how long items run. */
export class RunEstimate {
  private eventsPerItem: number | undefined;

  private msPerEvent: number | undefined;

  recordRun(events: number, durationMs: number): void {
    if (events < MIN_EVENTS) return;
    this.msPerEvent = this.blend(this.msPerEvent, durationMs / events);
  }

  recordItem(events: number): void {
    this.eventsPerItem = this.blend(this.eventsPerItem, events);
  }

  /** Time that an item still runs; 0 while nothing is known. */
  remainingMs(events: number): number {
    const { eventsPerItem = 0, msPerEvent = 0 } = this;
    return Math.max(0, eventsPerItem - events) * msPerEvent;
  }

  private blend(known: number | undefined, sample: number): number {
    return known === undefined ? sample : known + SAMPLE_WEIGHT * (sample - known);
  }
}

/** Due time by which an item is ordered: items that will be late come after all others. */
export const orderByDue = (dueAt: number, now: number, remainingMs: number): number =>
  now + remainingMs > dueAt ? dueAt + LATE_MS : dueAt;
