/**
 * Order in which batch items get slots. After an outage or an overload not all items can finish in time.
 * Ordering strictly by due time would then let items that are late anyway delay all others.
 */

/** Added to the due time of items that will be late; longer than any job may take until it is due. */
const LATE_ITEM_OFFSET_MS = 24 * 3_600_000;

/** Weight of the latest sample in the estimates. */
const SAMPLE_WEIGHT = 0.2;

/** Runs with fewer events are too short to estimate the time between events. */
const MIN_SAMPLE_EVENTS = 10;

/** Estimates the remaining run time of items from past runs. */
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

  /** Expected remaining run time after the given number of events; 0 before the first sample. */
  remainingMs(events: number): number {
    const { eventsPerItem = 0, msPerEvent = 0 } = this;
    return Math.max(0, eventsPerItem - events) * msPerEvent;
  }

  private smooth(previous: number | undefined, sample: number): number {
    return previous === undefined ? sample : previous + SAMPLE_WEIGHT * (sample - previous);
  }
}

/** Items that workers did not serve come after late ones that are due up to this long after them. */
const NOT_SERVED_OFFSET_MS = 60_000;

/** Returns the due time used for ordering an item that workers did not serve. */
export const postpone = (dueAt: number): number =>
  dueAt + LATE_ITEM_OFFSET_MS + NOT_SERVED_OFFSET_MS;

/** Returns the due time used for ordering: items that will be late sort after all others. */
export const computeEffectiveDueAt = (dueAt: number, now: number, remainingMs: number): number =>
  now + remainingMs > dueAt ? dueAt + LATE_ITEM_OFFSET_MS : dueAt;
