import type { Subscription, Timer } from '@jujubelanding/timer';
import { HostState, type Host } from './host.js';

/** Timer of a host: during a pause, time advances but handlers wait. */
export class HostTimer implements Timer {
  constructor(
    private readonly timer: Timer,
    private readonly host: Host,
  ) {}

  now(): number {
    return this.timer.now();
  }

  wallClock(): number {
    return this.timer.wallClock();
  }

  after(delayMs: number, handler: () => void): Subscription {
    let isActive = true;
    const subscription = this.timer.after(delayMs, () =>
      this.host.deliver(() => {
        if (isActive) handler();
      }),
    );
    return {
      cancel: () => {
        isActive = false;
        subscription.cancel();
      },
    };
  }

  every(intervalMs: number, handler: () => void): Subscription {
    let isActive = true;
    let isPending = false;
    const subscription = this.timer.every(intervalMs, () => {
      if (this.host.state() === HostState.Crashed) {
        subscription.cancel();
        return;
      }
      // After a pause, the handler runs once, not once for each missed interval.
      if (isPending) return;
      isPending = true;
      this.host.deliver(() => {
        isPending = false;
        if (isActive) handler();
      });
    });
    return {
      cancel: () => {
        isActive = false;
        subscription.cancel();
      },
    };
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }
}
