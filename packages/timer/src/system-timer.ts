import { performance } from 'node:perf_hooks';
import type { Subscription, Timer } from './timer.js';

/** Longest delay of a timer of Node.js, which runs a longer one after 1 ms. */
export const MAX_TIMER_DELAY_MS = 2 ** 31 - 1;

/** Timer on the system clocks. */
export class SystemTimer implements Timer {
  now(): number {
    return performance.now();
  }

  wallClock(): number {
    return Date.now();
  }

  after(delayMs: number, handler: () => void): Subscription {
    let handle: NodeJS.Timeout;
    const wait = (remainingMs: number): void => {
      handle =
        remainingMs > MAX_TIMER_DELAY_MS
          ? setTimeout(() => wait(remainingMs - MAX_TIMER_DELAY_MS), MAX_TIMER_DELAY_MS)
          : setTimeout(handler, remainingMs);
    };
    wait(delayMs);
    return { cancel: () => clearTimeout(handle) };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    if (intervalMs > MAX_TIMER_DELAY_MS) return this.repeat(intervalMs, handler);
    const handle = setInterval(handler, intervalMs);
    return { cancel: () => clearInterval(handle) };
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  private repeat(intervalMs: number, handler: () => void): Subscription {
    let current: Subscription;
    const schedule = (): void => {
      current = this.after(intervalMs, () => {
        schedule();
        handler();
      });
    };
    schedule();
    return { cancel: () => current.cancel() };
  }
}
