import type { Timer } from '@jujubelanding/timer';

/**
 * Longest wait of a request that arrives while a VM starts. Reading the configuration takes a tenth of
 * a second; callers give up on an unread request after a second.
 */
const MAX_WAIT_MS = 400;

/** Holds requests of the first moments until configuration and workers are known. */
export class StartupGate {
  private readonly waiting = new Set<() => void>();

  constructor(
    private readonly timer: Timer,
    private readonly isReady: () => boolean,
  ) {}

  /** Lets the requests go on where everything is known. */
  releaseIfReady(): void {
    if (!this.isReady()) return;
    this.waiting.forEach((resolve) => resolve());
    this.waiting.clear();
  }

  wait(): Promise<void> {
    if (this.isReady()) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiting.add(resolve);
      this.timer.after(MAX_WAIT_MS, () => {
        this.waiting.delete(resolve);
        resolve();
      });
    });
  }
}
