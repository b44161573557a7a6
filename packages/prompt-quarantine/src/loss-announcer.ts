import type { Subscription, Timer } from '@jujubelanding/timer';
import type { RequestLoss } from './request-suspects.js';

/** Losses within this time are announced together; a crash ends several requests at once. */
const ANNOUNCE_DELAY_MS = 20;

/** Maximum number of losses that are announced together, so that they fit into a datagram. */
const MAX_LOSSES = 16;

export interface LossAnnouncerOptions {
  timer: Timer;
  /** Tells the other VMs of lost requests; messages may get lost. */
  announce: (lost: RequestLoss[]) => void;
}

/**
 * Tells the other VMs of lost requests before the report of this VM has gone through the store, and also
 * while the store is down or this VM has given up its lease.
 */
export class LossAnnouncer {
  private readonly pending: RequestLoss[] = [];

  private timeout: Subscription | undefined;

  constructor(private readonly options: LossAnnouncerOptions) {}

  add(loss: RequestLoss): void {
    if (this.pending.length < MAX_LOSSES) this.pending.push(loss);
    this.timeout ??= this.options.timer.after(ANNOUNCE_DELAY_MS, () => {
      this.timeout = undefined;
      this.options.announce(this.pending.splice(0));
    });
  }

  stop(): void {
    this.timeout?.cancel();
  }
}
