import { FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { TransactionalStore } from '@jujubelanding/platform';
import { err, ok } from 'neverthrow';
import { decodeRequests, type ItemRequest, type Job } from './job.js';
import type { KeySpace } from './key-space.js';

/** Maximum total length of the cached bodies, in characters over all jobs. */
const MAX_CACHED_CHARACTERS = 8_000_000;

const countCharacters = (requests: readonly ItemRequest[]): number =>
  requests.reduce((sum, { body }) => sum + body.length, 0);

export interface ItemRequestsOptions {
  store: Pick<TransactionalStore, 'get'>;
  keys: KeySpace;
}

/** Reads the requests of items, which never change, and keeps the latest in memory. */
export class ItemRequests {
  /** Requests by job id, oldest first. */
  private readonly cached = new Map<string, readonly ItemRequest[]>();

  private cachedCharacters = 0;

  constructor(private readonly options: ItemRequestsOptions) {}

  /** Keeps the requests of a job that this VM has accepted. */
  keep(jobId: string, requests: readonly ItemRequest[]): void {
    if (this.cached.has(jobId)) return;
    this.cached.set(jobId, requests);
    this.cachedCharacters += countCharacters(requests);
    for (const [oldest, kept] of this.cached) {
      if (this.cachedCharacters <= MAX_CACHED_CHARACTERS || this.cached.size === 1) break;
      this.cached.delete(oldest);
      this.cachedCharacters -= countCharacters(kept);
    }
  }

  async read(job: Job): Reply<readonly ItemRequest[]> {
    const cached = this.cached.get(job.id);
    if (cached !== undefined) return ok(cached);
    const isInline = job.items.every(({ target }) => target !== undefined);
    if (isInline) {
      return ok(
        job.items.map(({ target = '', headers = {}, body = '' }) => ({ target, headers, body })),
      );
    }
    const { store, keys } = this.options;
    const entry = await store.get(keys.requests(job.id));
    if (entry.isErr()) return err(entry.error);
    const requests = entry.value === undefined ? undefined : decodeRequests(entry.value.value);
    if (requests === undefined) {
      const code = entry.value === undefined ? FaultCode.Unavailable : FaultCode.Corrupt;
      const message = `the requests of job ${job.id} are missing or cannot be decoded`;
      return err({ code, outcome: Outcome.Failed, step: 'read-requests', message });
    }
    this.keep(job.id, requests);
    return ok(requests);
  }
}
