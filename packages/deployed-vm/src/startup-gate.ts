import type { Timer } from '@jujubelanding/timer';

/**
 * Maximum wait of a request that arrives while a VM starts. Reading the configuration takes a tenth of a
 * second; callers abandon a request that is not read within a second.
 */
const MAX_WAIT_MS = 400;

/** Holds requests back during startup, until the configuration and the workers are loaded. */
export class StartupGate {
  private readonly waiting = new Set<() => void>();

  /** True once startup was complete; later losses of workers hold no request back. */
  private hasBeenReady = false;

  constructor(
    private readonly timer: Timer,
    private readonly isReady: () => boolean,
  ) {}

  /** Releases the waiting requests if startup is complete. */
  releaseIfReady(): void {
    if (!this.isReady()) return;
    this.hasBeenReady = true;
    this.waiting.forEach((resolve) => resolve());
    this.waiting.clear();
  }

  wait(): Promise<void> {
    this.hasBeenReady ||= this.isReady();
    if (this.hasBeenReady) return Promise.resolve();
    return new Promise((resolve) => {
      this.waiting.add(resolve);
      this.timer.after(MAX_WAIT_MS, () => {
        this.waiting.delete(resolve);
        resolve();
      });
    });
  }
}
