import { performance } from 'node:perf_hooks';
import type { Subscription, Timer } from './timer.js';

/** Timer on the system clocks. */
export class SystemTimer implements Timer {
  now(): number {
    return performance.now();
  }

  wallClock(): number {
    return Date.now();
  }

  after(delayMs: number, handler: () => void): Subscription {
    const handle = setTimeout(handler, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    const handle = setInterval(handler, intervalMs);
    return { cancel: () => clearInterval(handle) };
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, delayMs);
    });
  }
}
