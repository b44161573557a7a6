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
  wantedInFlight: number;
  requestsPerSecond: number;
  concurrency: number;
  expiresAt: number;
}

export interface Asked {
  entryVmId: string;
  demandPerSecond: number;
  inFlight: number;
  /** Requests in progress and those refused lately. */
  wantedInFlight?: number;
}

export interface Granted extends TeamBounds {
  validMs: number;
}

/**
 * Share of a limit by demand. Without shortage each VM gets an equal part of the rest on top; parts
 * of VMs that do not ask are kept back, because callers may turn to any of them at any moment.
 */
const divide = (limit: number, demand: number, others: number, parts: number): number => {
  const total = demand + others;
  if (total <= limit) return demand + (limit - total) / parts;
  return (limit * demand) / total;
};

/** Grants of one team. The sum of grants that have not expired never exceeds the limits. */
export class GrantDivision {
  private readonly shares = new Map<string, Share>();

  /** `liveVms` is the number of entry VMs that could ask. */
  grant(asked: Asked, bounds: TeamBounds, now: number, liveVms = 1): Granted {
    const { wantedInFlight = asked.inFlight } = asked;
    this.expire(now);
    this.shares.delete(asked.entryVmId);
    const others = [...this.shares.values()];
    const sum = (pick: (share: Share) => number): number =>
      others.reduce((total, share) => total + pick(share), 0);
    const parts = Math.max(liveVms, others.length + 1);
    const rateShare = divide(
      bounds.requestsPerSecond,
      asked.demandPerSecond,
      sum((share) => share.demandPerSecond),
      parts,
    );
    const slotShare = divide(
      bounds.concurrency,
      wantedInFlight,
      sum((share) => share.wantedInFlight),
      parts,
    );
    const freeRate = bounds.requestsPerSecond - sum((share) => share.requestsPerSecond);
    const freeSlots = bounds.concurrency - sum((share) => share.concurrency);
    const requestsPerSecond = Math.max(0, Math.min(rateShare, freeRate));
    // Rounded up, because a share below 1 would refuse every request of a small team.
    const concurrency = Math.max(0, Math.min(Math.ceil(slotShare), freeSlots));
    this.shares.set(asked.entryVmId, {
      demandPerSecond: asked.demandPerSecond,
      wantedInFlight,
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
