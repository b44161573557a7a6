/** Paced retries of calls to the key-value service. */
import type { Random } from '@jujubelanding/random';

const FIRST_DELAY_MS = 250;
const MAX_DELAY_MS = 4000;

/** Delays double with each failure and are spread, so that VMs do not return in step. */
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
    const delay = Math.min(FIRST_DELAY_MS * 2 ** this.failures, MAX_DELAY_MS);
    this.failures += 1;
    this.nextAt = now + delay * (0.5 + this.random.next());
  }

  /** After an outage the first success is followed by calls of many VMs; they stay spread. */
  recordSuccess(): void {
    this.failures = 0;
  }
}
