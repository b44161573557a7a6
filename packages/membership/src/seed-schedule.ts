/** Schedules probes of listed entry VMs that are not live members: at startup and after a partition. */
import type { PeerAddress } from '@jujubelanding/types';

const INITIAL_RETRY_DELAY_MS = 1000;
const MAX_RETRY_DELAY_MS = 30_000;
/** Seeds contacted per probe period; a VM discovers a fleet of 410 within about a minute. */
const MAX_SEEDS_PER_PERIOD = 4;

interface Attempt {
  nextAt: number;
  retryMs: number;
}

export class SeedSchedule {
  private readonly attempts = new Map<string, Attempt>();

  /** Returns the seeds to contact now; the retry interval of each doubles up to a maximum. */
  choose(seeds: readonly PeerAddress[], isLive: (id: string) => boolean, now: number) {
    const due: PeerAddress[] = [];
    for (const seed of seeds) {
      if (isLive(seed.entryVmId)) {
        this.attempts.delete(seed.entryVmId);
      } else if (
        due.length < MAX_SEEDS_PER_PERIOD &&
        (this.attempts.get(seed.entryVmId)?.nextAt ?? 0) <= now
      ) {
        due.push(seed);
        this.recordAttempt(seed.entryVmId, now);
      }
    }
    return due;
  }

  private recordAttempt(id: string, now: number): void {
    const retryMs = Math.min(
      (this.attempts.get(id)?.retryMs ?? INITIAL_RETRY_DELAY_MS / 2) * 2,
      MAX_RETRY_DELAY_MS,
    );
    this.attempts.set(id, { nextAt: now + retryMs, retryMs });
  }
}
