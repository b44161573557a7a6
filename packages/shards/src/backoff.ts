/** Backoff for calls to the key-value service. */
import type { Random } from '@jujubelanding/random';

const INITIAL_DELAY_MS = 250;
const MAX_DELAY_MS = 4000;

/** Exponential backoff with jitter, so that VMs do not retry at the same times. */
export class Backoff {
  private failures = 0;

  private nextAt = 0;

  constructor(private readonly random: Random) {}

  /** True while the last call succeeded. */
  isHealthy(): boolean {
    return this.failures === 0;
  }

  isDue(now: number): boolean {
    return now >= this.nextAt;
  }

  recordFailure(now: number): void {
    const delay = Math.min(INITIAL_DELAY_MS * 2 ** this.failures, MAX_DELAY_MS);
    this.failures += 1;
    this.nextAt = now + delay * (0.5 + this.random.next());
  }

  /**
   * Keeps the time of the next call: after an outage many VMs succeed at about the same time, and
   * their calls remain spread.
   */
  recordSuccess(): void {
    this.failures = 0;
  }
}
