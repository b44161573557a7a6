/** Spaces loads so that they stay within the rate limit of the weight store. */
import type { Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import { err, ok } from 'neverthrow';

const MS_PER_SECOND = 1000;

export class LoadRateLimiter {
  /** Time until which the loads ordered so far occupy the rate limit. */
  private busyUntil = 0;

  constructor(private readonly io: Pick<EntryVmIo, 'timer' | 'weightStore'>) {}

  canLoad(): boolean {
    return this.io.timer.now() >= this.busyUntil;
  }

  /** Returns the duration of a load at the rate limit, in milliseconds. */
  async estimateDuration(weight: string): Reply<number> {
    const description = await this.io.weightStore.describe(weight);
    if (description.isErr()) return err(description.error);
    const rate = await this.io.weightStore.readRateLimit();
    if (rate.isErr()) return err(rate.error);
    return ok((description.value.bytes / rate.value.bytesPerSecond) * MS_PER_SECOND);
  }

  reserve(durationMs: number): void {
    this.busyUntil = this.io.timer.now() + durationMs;
  }
}
