/** Owner's side: division of a team's limits among the entry VMs that ask for a share. */

/** Time for which a grant holds. */
export const GRANT_VALID_MS = 2000;

export interface TeamBounds {
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
}

interface Share {
  demandPerSecond: number;
  inFlight: number;
  requestsPerSecond: number;
  concurrency: number;
  expiresAt: number;
}

export interface Asked {
  entryVmId: string;
  demandPerSecond: number;
  inFlight: number;
}

export interface Granted extends TeamBounds {
  validMs: number;
}

/**
 * Share of a limit by demand. Without shortage the rest is spread evenly with one part kept back, so
 * that a VM that asks for the first time gets something at once.
 */
const divide = (limit: number, demand: number, others: number, holders: number): number => {
  const total = demand + others;
  if (total <= limit) return demand + (limit - total) / (holders + 1);
  return (limit * demand) / total;
};

/** Grants of one team. The sum of grants that have not expired never exceeds the limits. */
export class GrantDivision {
  private readonly shares = new Map<string, Share>();

  grant(asked: Asked, bounds: TeamBounds, now: number): Granted {
    this.expire(now);
    this.shares.delete(asked.entryVmId);
    const others = [...this.shares.values()];
    const sum = (pick: (share: Share) => number): number =>
      others.reduce((total, share) => total + pick(share), 0);
    const holders = others.length + 1;
    const rateShare = divide(
      bounds.requestsPerSecond,
      asked.demandPerSecond,
      sum((share) => share.demandPerSecond),
      holders,
    );
    const slotShare = divide(
      bounds.concurrency,
      asked.inFlight,
      sum((share) => share.inFlight),
      holders,
    );
    const freeRate = bounds.requestsPerSecond - sum((share) => share.requestsPerSecond);
    const freeSlots = bounds.concurrency - sum((share) => share.concurrency);
    const requestsPerSecond = Math.max(0, Math.min(rateShare, freeRate));
    // Rounded up, because a share below 1 would refuse every request of a small team.
    const concurrency = Math.max(0, Math.min(Math.ceil(slotShare), freeSlots));
    this.shares.set(asked.entryVmId, {
      demandPerSecond: asked.demandPerSecond,
      inFlight: asked.inFlight,
      requestsPerSecond,
      // Requests admitted under an earlier, larger grant still run.
      concurrency: Math.max(concurrency, asked.inFlight),
      expiresAt: now + GRANT_VALID_MS,
    });
    const burst = (bounds.burst * requestsPerSecond) / Math.max(1e-9, bounds.requestsPerSecond);
    return { requestsPerSecond, burst, concurrency, validMs: GRANT_VALID_MS };
  }

  /** True when no grant is in force. */
  isEmpty(now: number): boolean {
    this.expire(now);
    return this.shares.size === 0;
  }

  private expire(now: number): void {
    for (const [entryVmId, share] of this.shares) {
      if (share.expiresAt <= now) this.shares.delete(entryVmId);
    }
  }
}
