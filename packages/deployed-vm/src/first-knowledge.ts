import type { Timer } from '@jujubelanding/timer';

/**
 * Longest wait of a request that arrives while a VM starts. Reading the configuration takes a tenth of
 * a second; callers give up on an unread request after a second.
 */
const LONGEST_WAIT_MS = 400;

/** Holds requests of the first moments until configuration and workers are known. */
export class FirstKnowledge {
  private readonly waiting = new Set<() => void>();

  constructor(
    private readonly timer: Timer,
    private readonly isComplete: () => boolean,
  ) {}

  /** Lets the requests go on where everything is known. */
  review(): void {
    if (!this.isComplete()) return;
    this.waiting.forEach((resolve) => resolve());
    this.waiting.clear();
  }

  wait(): Promise<void> {
    if (this.isComplete()) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiting.add(resolve);
      this.timer.after(LONGEST_WAIT_MS, () => {
        this.waiting.delete(resolve);
        resolve();
      });
    });
  }
}
