import type { Timer } from '@jujubelanding/timer';

/**
 * Maximum wait of a request that arrives while a VM starts. Reading the configuration takes a tenth of a
 * second; callers abandon a request that is not read within a second.
 */
const MAX_WAIT_MS = 400;

/** Holds requests back during startup, until the configuration and the workers are loaded. */
export class StartupGate {
  private readonly waiting = new Set<() => void>();

  constructor(
    private readonly timer: Timer,
    private readonly isReady: () => boolean,
  ) {}

  /** Releases the waiting requests if startup is complete. */
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
