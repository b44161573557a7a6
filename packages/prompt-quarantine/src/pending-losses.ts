import type { RequestLoss } from './request-suspects.js';

/**
 * Losses of which it is not known whether they are crashes are kept for this long at most. The checks of the
 * VM that lost the request take up to 1.5 s; its confirmation may get lost and then comes through the store.
 */
const LIFETIME_MS = 2000;

/** Maximum number of losses that are kept; the least recent ones are forgotten. */
const MAX_LOSSES = 2000;

/** Requests that were lost at a worker that may have crashed, on any VM. */
export class PendingLosses {
  /** Times of losses by request and crash, oldest first. */
  private readonly losses = new Map<string, Map<string, number>>();

  add([request, crashId]: RequestLoss, now: number): void {
    const crashes = this.losses.get(request) ?? new Map<string, number>();
    this.losses.delete(request);
    this.losses.set(request, crashes.set(crashId, now));
    if (this.losses.size > MAX_LOSSES) this.losses.delete([...this.losses.keys()][0]!);
  }

  remove([request, crashId]: RequestLoss): void {
    const crashes = this.losses.get(request);
    crashes?.delete(crashId);
    if (crashes?.size === 0) this.losses.delete(request);
  }

  /** Removes the losses of a request that was answered. */
  clear(request: string): void {
    this.losses.delete(request);
  }

  list(request: string, now: number): string[] {
    const crashes = this.losses.get(request);
    if (crashes === undefined) return [];
    return [...crashes].filter(([, at]) => now - at <= LIFETIME_MS).map(([id]) => id);
  }

  prune(now: number): void {
    for (const [request, crashes] of this.losses) {
      for (const [id, at] of crashes) if (now - at > LIFETIME_MS) crashes.delete(id);
      if (crashes.size === 0) this.losses.delete(request);
    }
  }
}
