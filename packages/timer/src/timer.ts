/** A running subscription to a point in time or to an interval. */
export interface Subscription {
  cancel(): void;
}

/** The only source of time in the product. */
export interface Timer {
  /** Monotonic milliseconds; never goes back, unrelated to the calendar. */
  now(): number;
  /** Epoch milliseconds. */
  wallClock(): number;
  /** Calls the handler once after the delay. */
  after(delayMs: number, handler: () => void): Subscription;
  /** Calls the handler at each interval, first after one interval. */
  every(intervalMs: number, handler: () => void): Subscription;
  sleep(delayMs: number): Promise<void>;
}
