import type { Subscription, Timer } from '@jujubelanding/timer';

/** Sends messages on changes, with at least an interval between two of them. */
export class MessagePacer {
  private sentAt = -Infinity;

  private pending: Subscription | undefined;

  private scheduledAt = Infinity;

  private isUrgent = false;

  constructor(
    private readonly timer: Timer,
    /** Sends the current state. */
    private readonly send: (isUrgent: boolean) => void,
  ) {}

  /** Sends once the interval since the last message has passed. */
  schedule(intervalMs: number, isUrgent = false): void {
    const now = this.timer.now();
    this.isUrgent ||= isUrgent;
    const at = Math.max(now, this.sentAt + intervalMs);
    if (at >= this.scheduledAt) return;
    this.pending?.cancel();
    this.scheduledAt = at;
    this.pending = this.timer.after(at - now, () => this.sendNow());
  }

  sendNow(): void {
    this.cancel();
    this.sentAt = this.timer.now();
    const { isUrgent } = this;
    this.isUrgent = false;
    this.send(isUrgent);
  }

  cancel(): void {
    this.pending?.cancel();
    this.pending = undefined;
    this.scheduledAt = Infinity;
  }
}
