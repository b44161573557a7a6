/** Advertises in the member entry of this VM whether it has chunks to grant. */
import type { Membership } from '@jujubelanding/interfaces';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { hasGrantableChunk, type OpenJob, type SchedulePolicy } from './schedule.js';

/**
 * Time for which open chunks are still advertised after the last one was granted. It limits changes of
 * the member entry, because every change is gossiped.
 */
export const WITHDRAWAL_DELAY_MS = 2000;
const UPDATE_INTERVAL_MS = 1000;

export interface OpenChunkAdvertiserOptions {
  timer: Timer;
  membership: Membership;
  policy: SchedulePolicy;
  listJobs: () => OpenJob[];
}

export class OpenChunkAdvertiser {
  private advertisedUntil = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: OpenChunkAdvertiserOptions) {}

  start(): Subscription {
    return this.options.timer.every(UPDATE_INTERVAL_MS, () => this.update());
  }

  update(): void {
    const { timer, membership, policy, listJobs } = this.options;
    const now = timer.now();
    if (listJobs().some((job) => hasGrantableChunk(job, policy, now))) {
      this.advertisedUntil = now + WITHDRAWAL_DELAY_MS;
    }
    membership.updateSelf({ openChunks: now < this.advertisedUntil });
  }
}
