/** Owner side: divides the limits of a team among the entry VMs that request a share. */
import { FleetTokenBucket } from './fleet-token-bucket.js';
import { computeUngrantedReserve } from './ungranted-usage.js';

/** Validity of a grant; long enough for two lost renewals. */
export const GRANT_VALID_MS = 5000;

/** Minimum interval between recalls of one VM's grant. */
const RECALL_INTERVAL_MS = 250;

/** A grant below the first fraction of its portion causes a recall of grants above the second one. */
const RECALL_BELOW_RATIO = 0.75;
const RECALL_ABOVE_RATIO = 1.25;

/** Requests admitted beyond the limit are compensated by lower grants over this time. */
const DEBT_REPAYMENT_SECONDS = 2;

/** A VM whose burst is below this many tokens reports each request. */
const SMALL_BURST_TOKENS = 2;

/** Fraction of the burst that is not advanced, because usage is reported with a delay. */
const BURST_RESERVE = 0.35;

const MS_PER_SECOND = 1000;

/** Limits of a team across all entry VMs; a grant has the same fields for one VM. */
export interface TeamBounds {
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
}

/** The grant of one entry VM and its last report. */
interface Share {
  bootId: string;
  sequence: number;
  demandPerSecond: number;
  inFlight: number;
  wantedInFlight: number;
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
  /** Total of admitted requests, as last reported. */
  admitted: number;
  /** Advanced tokens that have not been used by a reported request yet. */
  unusedAdvance: number;
  requestedAt: number;
  expiresAt: number;
  recalledAt: number;
}

/** Usage report of one entry VM, with which it requests a share of a team's limits. */
export interface ShareRequest {
  entryVmId: string;
  /** Identifies one run of the VM's process. */
  bootId?: string;
  /** Increases with each message of a run; older messages are discarded. */
  sequence?: number;
  demandPerSecond: number;
  inFlight: number;
  /** Requests in progress plus those refused since the last report. */
  wantedInFlight?: number;
  /** Total of admitted requests; restarts at 0 when the VM drops the state of an idle team. */
  admitted?: number;
  /** Tokens missing from the VM's bucket. */
  wantedTokens?: number;
  /** The currently valid grant of the VM, possibly from a previous owner. */
  heldPerSecond?: number;
  heldConcurrency?: number;
}

/** Share of a team's limits that an entry VM may use for a limited time. */
export interface ShareGrant extends TeamBounds {
  validMs: number;
  /** Tokens to add to the bucket immediately. */
  advance: number;
}

/** State of the fleet and of the owner at the time of a grant. */
export interface DivisionContext {
  /** Number of live entry VMs; each may request a share. */
  liveVms: number;
  /** True while grants of a previous owner may still be valid. */
  isRecovering: boolean;
}

interface Portion {
  requestsPerSecond: number;
  concurrency: number;
}

/**
 * Divides a limit in proportion to demand. If demand is below the limit, each VM also gets an equal
 * share of the remainder. Shares of VMs that request nothing are held in reserve, because callers may
 * switch to any of them at any time.
 */
const divideLimit = (limit: number, demand: number, total: number, vmCount: number): number => {
  if (total <= limit) return demand + (limit - total) / vmCount;
  return (limit * demand) / total;
};

/** Expected rate of admitted requests of a VM until its next report. */
const estimateUsage = (share: Share): number =>
  Math.min(share.demandPerSecond, share.requestsPerSecond);

const createShare = (request: ShareRequest, previous: Share | undefined, now: number): Share => {
  const { bootId = '', sequence, demandPerSecond, inFlight, admitted = 0 } = request;
  return {
    ...{ bootId, demandPerSecond, inFlight, admitted },
    // A request without a sequence always counts as newer.
    sequence: sequence ?? (previous?.sequence ?? 0) + 1,
    wantedInFlight: request.wantedInFlight ?? inFlight,
    ...{
      unusedAdvance: previous?.unusedAdvance ?? 0,
      recalledAt: previous?.recalledAt ?? -Infinity,
    },
    ...{ requestsPerSecond: 0, burst: 0, concurrency: 0 },
    ...{ requestedAt: now, expiresAt: now + GRANT_VALID_MS },
  };
};

/** Grants of one team. The sum of unexpired grants never exceeds the limits. */
export class GrantDivision {
  private readonly shares = new Map<string, Share>();

  private readonly fleetBucket = new FleetTokenBucket();

  /** Answers a request; undefined for a duplicate, or for a message that arrives after a newer one. */
  grant(
    request: ShareRequest,
    bounds: TeamBounds,
    now: number,
    { liveVms, isRecovering }: DivisionContext = { liveVms: 1, isRecovering: false },
  ): ShareGrant | undefined {
    this.updateToNow(bounds, now, liveVms);
    const previous = this.shares.get(request.entryVmId);
    const share = createShare(request, previous, now);
    const isSameRun = previous?.bootId === share.bootId;
    if (isSameRun && share.sequence <= previous.sequence) return undefined;
    this.shares.set(request.entryVmId, share);
    const wantedTokens = request.wantedTokens ?? 0;
    // The usage of a VM without a share equals the tokens missing from its bucket.
    if (isSameRun) this.correctUsage(share, previous, now, bounds);
    else this.fleetBucket.take(wantedTokens);
    const available = this.computeAvailable(bounds, liveVms);
    const portion = this.computePortion(share, available, liveVms);
    const limits = isRecovering ? this.capToHeldGrant(request, bounds, portion, liveVms) : portion;
    this.assign(share, limits, available, bounds);
    const advance = isRecovering ? 0 : this.advanceTokens(share, wantedTokens, bounds, liveVms);
    const { requestsPerSecond, burst, concurrency } = share;
    // Requests admitted under an earlier, larger grant are still in progress.
    share.concurrency = Math.max(concurrency, share.inFlight);
    return { requestsPerSecond, burst, concurrency, advance, validMs: GRANT_VALID_MS };
  }

  /** Returns VMs that hold more than their portion or reported long ago, while `entryVmId` has too little. */
  findVmsToRecall(entryVmId: string, bounds: TeamBounds, now: number, liveVms: number): string[] {
    const requester = this.shares.get(entryVmId);
    if (requester === undefined) return [];
    const available = this.computeAvailable(bounds, liveVms);
    const portion = this.computePortion(requester, available, liveVms);
    const lacksRate = requester.requestsPerSecond < RECALL_BELOW_RATIO * portion.requestsPerSecond;
    const lacksSlots = requester.concurrency < RECALL_BELOW_RATIO * portion.concurrency;
    if (!lacksRate && !lacksSlots) return [];
    const recalled = [...this.shares].filter(([id, share]) => {
      if (id === entryVmId || now - share.recalledAt < RECALL_INTERVAL_MS) return false;
      const allotted = this.computePortion(share, available, liveVms);
      const hasExcess = share.requestsPerSecond > RECALL_ABOVE_RATIO * allotted.requestsPerSecond;
      // Slots of requests in progress cannot be returned.
      const maxSlots = Math.max(RECALL_ABOVE_RATIO * allotted.concurrency, share.inFlight);
      // The demand of an old report may no longer exist.
      const isStale = now - share.requestedAt >= RECALL_INTERVAL_MS;
      return (lacksRate && (hasExcess || isStale)) || (lacksSlots && share.concurrency > maxSlots);
    });
    return recalled.map(([id, share]) => {
      share.recalledAt = now;
      return id;
    });
  }

  /** True if no grant is valid and the fleet-wide bucket is full again. */
  isIdle(bounds: TeamBounds, now: number, liveVms: number): boolean {
    this.updateToNow(bounds, now, liveVms);
    return this.shares.size === 0 && this.fleetBucket.isFull();
  }

  /** Refills the fleet-wide bucket up to the present time and removes expired grants. */
  private updateToNow(bounds: TeamBounds, now: number, liveVms: number): void {
    const ungrantedVms = liveVms - this.shares.size;
    const expectedRate = [...this.shares.values()].reduce(
      (sum, share) => sum + estimateUsage(share),
      0,
    );
    const reserve = computeUngrantedReserve(bounds.requestsPerSecond, ungrantedVms, liveVms);
    this.fleetBucket.refill(bounds.requestsPerSecond - reserve - expectedRate, bounds.burst, now);
    this.expire(now);
  }

  /** Returns the rate and slots to divide, without the reserve for VMs that hold no grant. */
  private computeAvailable(bounds: TeamBounds, liveVms: number): Portion {
    const ungrantedVms = liveVms - this.shares.size;
    const withoutReserve = (limit: number): number =>
      limit - computeUngrantedReserve(limit, ungrantedVms, liveVms);
    const repayment = this.fleetBucket.missing() / DEBT_REPAYMENT_SECONDS;
    return {
      requestsPerSecond: Math.max(0, withoutReserve(bounds.requestsPerSecond) - repayment),
      concurrency: withoutReserve(bounds.concurrency),
    };
  }

  private computePortion(share: Share, available: Portion, liveVms: number): Portion {
    const shares = [...this.shares.values()];
    const sum = (pick: (share: Share) => number): number =>
      shares.reduce((total, each) => total + pick(each), 0);
    const vmCount = Math.max(liveVms, shares.length);
    const demand = sum((each) => each.demandPerSecond);
    const wanted = sum((each) => each.wantedInFlight);
    const { requestsPerSecond, concurrency } = available;
    return {
      requestsPerSecond: divideLimit(requestsPerSecond, share.demandPerSecond, demand, vmCount),
      // Rounded up: with a share below 1 every request of a small team would be refused.
      concurrency: Math.ceil(divideLimit(concurrency, share.wantedInFlight, wanted, vmCount)),
    };
  }

  /** While not all valid grants are known, caps a grant at the VM's current one or the fallback share. */
  private capToHeldGrant(
    request: ShareRequest,
    bounds: TeamBounds,
    portion: Portion,
    liveVms: number,
  ): Portion {
    const { heldPerSecond = 0, heldConcurrency = 0 } = request;
    const fallback = Math.max(1, Math.floor(bounds.concurrency / liveVms));
    return {
      requestsPerSecond: Math.min(
        portion.requestsPerSecond,
        Math.max(heldPerSecond, bounds.requestsPerSecond / liveVms),
      ),
      concurrency: Math.min(portion.concurrency, Math.max(heldConcurrency, fallback)),
    };
  }

  /** Limits the grant to what the other valid grants leave free. */
  private assign(share: Share, portion: Portion, available: Portion, bounds: TeamBounds): void {
    let freeRate = available.requestsPerSecond;
    let freeSlots = Math.floor(available.concurrency);
    for (const other of this.shares.values()) {
      if (other === share) continue;
      freeRate -= other.requestsPerSecond;
      freeSlots -= other.concurrency;
    }
    share.requestsPerSecond = Math.max(0, Math.min(portion.requestsPerSecond, freeRate));
    share.concurrency = Math.max(0, Math.min(portion.concurrency, freeSlots));
    share.burst =
      (bounds.burst * share.requestsPerSecond) / Math.max(1e-9, bounds.requestsPerSecond);
  }

  /** Replaces the expected usage of a VM by the reported one; advanced tokens are already counted. */
  private correctUsage(
    share: Share,
    previous: Share,
    now: number,
    { requestsPerSecond }: TeamBounds,
  ): void {
    const isCounterReset = share.admitted < previous.admitted;
    const admitted = share.admitted - (isCounterReset ? 0 : previous.admitted);
    const prepaid = Math.min(share.unusedAdvance, admitted);
    share.unusedAdvance -= prepaid;
    const secondsSinceReport = (now - previous.requestedAt) / MS_PER_SECOND;
    const expected = estimateUsage(previous) * secondsSinceReport;
    this.fleetBucket.correct(admitted - prepaid - expected, secondsSinceReport * requestsPerSecond);
  }

  /** Advances tokens that remain in the fleet-wide bucket. */
  private advanceTokens(
    share: Share,
    requestedTokens: number,
    bounds: TeamBounds,
    liveVms: number,
  ): number {
    // VMs that request nothing have full buckets. A VM with a small bucket reports each request.
    const ungrantedVms = Math.max(0, liveVms - this.shares.size);
    const burstPerVm = bounds.burst / liveVms;
    const reserve = Math.max(
      BURST_RESERVE * bounds.burst,
      burstPerVm < SMALL_BURST_TOKENS ? 0 : burstPerVm * ungrantedVms,
    );
    const advance = Math.max(0, Math.min(requestedTokens, this.fleetBucket.available() - reserve));
    this.fleetBucket.take(advance);
    share.unusedAdvance += advance;
    return advance;
  }

  private expire(now: number): void {
    for (const [entryVmId, share] of this.shares) {
      if (share.expiresAt <= now) this.shares.delete(entryVmId);
    }
  }
}
