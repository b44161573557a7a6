import type { Subscription, Timer } from './timer.js';

interface ScheduledHandler {
  dueAt: number;
  sequence: number;
  handler: () => void;
  isCancelled: boolean;
}

/** Wall-clock time at virtual time 0, in milliseconds since the Unix epoch. */
export const VIRTUAL_EPOCH_MS = Date.UTC(2026, 0, 1);

const isBefore = (a: ScheduledHandler, b: ScheduledHandler): boolean =>
  a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.sequence < b.sequence);

/** Timer whose time passes only when advanced; handlers with equal due times run in scheduling order. */
export class VirtualTimer implements Timer {
  private time = 0;

  private sequence = 0;

  /** Binary heap ordered by due time, then sequence. */
  private readonly heap: ScheduledHandler[] = [];

  now(): number {
    return this.time;
  }

  wallClock(): number {
    return VIRTUAL_EPOCH_MS + Math.floor(this.time);
  }

  after(delayMs: number, handler: () => void): Subscription {
    const entry: ScheduledHandler = {
      dueAt: this.time + Math.max(0, delayMs),
      sequence: this.sequence,
      handler,
      isCancelled: false,
    };
    this.sequence += 1;
    this.push(entry);
    return {
      cancel: () => {
        entry.isCancelled = true;
      },
    };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    let current: Subscription;
    let active = true;
    const schedule = (): void => {
      current = this.after(intervalMs, () => {
        if (!active) return;
        schedule();
        handler();
      });
    };
    schedule();
    return {
      cancel: () => {
        active = false;
        current.cancel();
      },
    };
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  /** Runs all handlers due within the duration and flushes promise callbacks after each of them. */
  async advance(durationMs: number): Promise<void> {
    const end = this.time + durationMs;
    await this.flushPromises();
    for (let entry = this.popDue(end); entry !== undefined; entry = this.popDue(end)) {
      this.time = Math.max(this.time, entry.dueAt);
      entry.handler();
      await this.flushPromises();
    }
    this.time = end;
  }

  /** Waits until all pending promise callbacks have run. */
  flushPromises(): Promise<void> {
    return new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  private push(entry: ScheduledHandler): void {
    this.heap.push(entry);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(entry, this.heap[parent]!)) break;
      this.heap[index] = this.heap[parent]!;
      index = parent;
    }
    this.heap[index] = entry;
  }

  private popDue(end: number): ScheduledHandler | undefined {
    while (this.heap.length > 0 && this.heap[0]!.dueAt <= end) {
      const entry = this.removeFirst();
      if (!entry.isCancelled) return entry;
    }
    return undefined;
  }

  private removeFirst(): ScheduledHandler {
    const first = this.heap[0]!;
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.heap.length) break;
      if (child + 1 < this.heap.length && isBefore(this.heap[child + 1]!, this.heap[child]!)) {
        child += 1;
      }
      if (!isBefore(this.heap[child]!, last)) break;
      this.heap[index] = this.heap[child]!;
      index = child;
    }
    this.heap[index] = last;
    return first;
  }
}
