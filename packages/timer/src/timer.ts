/** Registration of a handler that can be cancelled. */
export interface Subscription {
  cancel(): void;
}

/** Clock and scheduler; all production code takes the time from it, so that tests can use virtual time. */
export interface Timer {
  /** Monotonic time in milliseconds, unrelated to the wall clock. */
  now(): number;
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallClock(): number;
  /** Calls the handler once after the delay. */
  after(delayMs: number, handler: () => void): Subscription;
  /** Calls the handler repeatedly, first after one interval. */
  every(intervalMs: number, handler: () => void): Subscription;
  sleep(delayMs: number): Promise<void>;
}
