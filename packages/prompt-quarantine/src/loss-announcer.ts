import type { Subscription, Timer } from '@jujubelanding/timer';
import type { RequestLoss } from './request-suspects.js';

/** Losses within this time are announced together; a crash ends several requests at once. */
const ANNOUNCE_DELAY_MS = 20;

/** Maximum number of losses that are announced together, so that they fit into a datagram. */
const MAX_LOSSES = 16;

export interface LossAnnouncerOptions {
  timer: Timer;
  /** Tells the other VMs of lost and of suspected requests; messages may get lost. */
  announce: (lost: RequestLoss[], suspected: RequestLoss[]) => void;
}

/**
 * Tells the other VMs of lost requests before the report of this VM has gone through the store, and also
 * while the store is down or this VM has given up its lease.
 */
export class LossAnnouncer {
  private readonly lost: RequestLoss[] = [];

  private readonly suspected: RequestLoss[] = [];

  private timeout: Subscription | undefined;

  constructor(private readonly options: LossAnnouncerOptions) {}

  /** Announces a request that was lost at a crash. */
  addLost(loss: RequestLoss): void {
    this.add(this.lost, loss);
  }

  /** Announces a request that was lost, before it is known whether the worker has crashed. */
  addSuspected(loss: RequestLoss): void {
    this.add(this.suspected, loss);
  }

  stop(): void {
    this.timeout?.cancel();
  }

  private add(pending: RequestLoss[], loss: RequestLoss): void {
    if (this.lost.length + this.suspected.length < MAX_LOSSES) pending.push(loss);
    this.timeout ??= this.options.timer.after(ANNOUNCE_DELAY_MS, () => {
      this.timeout = undefined;
      this.options.announce(this.lost.splice(0), this.suspected.splice(0));
    });
  }
}
