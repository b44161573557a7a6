/** Owner's side: division of a team's limits among the entry VMs that ask for a share. */
import { FleetTokenBucket } from './fleet-token-bucket.js';
import { computeReserve } from './ungranted-usage.js';

/** Time for which a grant holds; two renewals may be lost. */
export const GRANT_VALID_MS = 5000;

/** A VM is asked to give back at most this often. */
const RECALL_INTERVAL_MS = 250;

/** A grant this far below its part makes the owner recall those as far above theirs. */
const BELOW_PORTION_FACTOR = 0.75;
const ABOVE_PORTION_FACTOR = 1.25;

/** Requests beyond the limit are made up for by lower grants over this time. */
const DEBT_REPAYMENT_SECONDS = 2;

/** Tokens of a VM below which it reports each request. */
const SMALL_BURST_TOKENS = 2;

/** Part of the burst that is not handed out, because use is known late. */
const BURST_RESERVE = 0.35;

const MS_PER_SECOND = 1000;

export interface TeamBounds {
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
}

interface Share {
  bootId: string;
  sequence: number;
  demandPerSecond: number;
  inFlight: number;
  wantedInFlight: number;
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
  /** Requests admitted in all, as last reported. */
  admitted: number;
  /** Advanced tokens that no reported request has used yet. */
  unusedAdvance: number;
  requestedAt: number;
  expiresAt: number;
  recalledAt: number;
}

export interface ShareRequest {
  entryVmId: string;
  /** Distinguishes runs of the VM. */
  bootId?: string;
  /** Grows with each message of a run; older messages are discarded. */
  sequence?: number;
  demandPerSecond: number;
  inFlight: number;
  /** Requests in progress and those refused lately. */
  wantedInFlight?: number;
  /** Requests admitted in all; starts at 0 again when the VM forgets an idle team. */
  admitted?: number;
  /** Tokens that would fill the VM's bucket. */
  wantedTokens?: number;
  /** The grant in force at the VM, perhaps of a former owner. */
  heldPerSecond?: number;
  heldConcurrency?: number;
}

export interface Grant extends TeamBounds {
  validMs: number;
  /** Tokens to be put into the bucket at once. */
  advance: number;
}

/** State of the fleet and of the owner at a grant. */
export interface DivisionContext {
  /** Entry VMs that could ask. */
  liveVms: number;
  /** Grants of a former owner may be in force. */
  isRecovering: boolean;
}

interface Portion {
  requestsPerSecond: number;
  concurrency: number;
}

/**
 * Share of a limit by demand. Without shortage each VM gets an equal part of the rest on top; parts
 * of VMs that do not ask are kept back, because callers may turn to any of them at any moment.
 */
const computePortion = (limit: number, demand: number, total: number, vmCount: number): number => {
  if (total <= limit) return demand + (limit - total) / vmCount;
  return (limit * demand) / total;
};

/** Rate at which a VM probably admits requests until its next report. */
const estimateUsage = (share: Share): number =>
  Math.min(share.demandPerSecond, share.requestsPerSecond);

const createShare = (request: ShareRequest, previous: Share | undefined, now: number): Share => {
  const { bootId = '', sequence, demandPerSecond, inFlight, admitted = 0 } = request;
  return {
    ...{ bootId, demandPerSecond, inFlight, admitted },
    // Without sequences each request counts as newer.
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

/** Grants of one team. The sum of grants that have not expired never exceeds the limits. */
export class GrantDivision {
  private readonly shares = new Map<string, Share>();

  private readonly fleetBucket = new FleetTokenBucket();

  /** Returns undefined for a message that arrives after a newer one, or twice. */
  grant(
    request: ShareRequest,
    bounds: TeamBounds,
    now: number,
    { liveVms, isRecovering }: DivisionContext = { liveVms: 1, isRecovering: false },
  ): Grant | undefined {
    this.updateToNow(bounds, now, liveVms);
    const previous = this.shares.get(request.entryVmId);
    const share = createShare(request, previous, now);
    const isSameRun = previous?.bootId === share.bootId;
    if (isSameRun && share.sequence <= previous.sequence) return undefined;
    this.shares.set(request.entryVmId, share);
    const wantedTokens = request.wantedTokens ?? 0;
    // What a VM without a share has used is what its bucket lacks.
    if (isSameRun) this.correctUsage(share, previous, now, bounds);
    else this.fleetBucket.take(wantedTokens);
    const available = this.computeAvailable(bounds, liveVms);
    const portion = this.computePortion(share, available, liveVms);
    const limits = isRecovering ? this.capToHeldGrant(request, bounds, portion, liveVms) : portion;
    this.assign(share, limits, available, bounds);
    const advance = isRecovering ? 0 : this.advanceTokens(share, wantedTokens, bounds, liveVms);
    const { requestsPerSecond, burst, concurrency } = share;
    // Requests admitted under an earlier, larger grant still run.
    share.concurrency = Math.max(concurrency, share.inFlight);
    return { requestsPerSecond, burst, concurrency, advance, validMs: GRANT_VALID_MS };
  }

  /** VMs that hold more than their part while `entryVmId` lacks some of its own. */
  findVmsToRecall(entryVmId: string, bounds: TeamBounds, now: number, liveVms: number): string[] {
    const requester = this.shares.get(entryVmId);
    if (requester === undefined) return [];
    const available = this.computeAvailable(bounds, liveVms);
    const portion = this.computePortion(requester, available, liveVms);
    const lacksRate =
      requester.requestsPerSecond < BELOW_PORTION_FACTOR * portion.requestsPerSecond;
    const lacksSlots = requester.concurrency < BELOW_PORTION_FACTOR * portion.concurrency;
    if (!lacksRate && !lacksSlots) return [];
    const recalled = [...this.shares].filter(([id, share]) => {
      if (id === entryVmId || now - share.recalledAt < RECALL_INTERVAL_MS) return false;
      const ownPortion = this.computePortion(share, available, liveVms);
      const hasExcessRate =
        share.requestsPerSecond > ABOVE_PORTION_FACTOR * ownPortion.requestsPerSecond;
      // Slots of requests in progress can't be given back.
      const maxConcurrency = Math.max(
        ABOVE_PORTION_FACTOR * ownPortion.concurrency,
        share.inFlight,
      );
      // Demand that was reported long ago may have ended.
      const isStale = now - share.requestedAt >= RECALL_INTERVAL_MS;
      return (
        (lacksRate && (hasExcessRate || isStale)) ||
        (lacksSlots && share.concurrency > maxConcurrency)
      );
    });
    return recalled.map(([id, share]) => {
      share.recalledAt = now;
      return id;
    });
  }

  /** True when no grant is in force and no earlier use counts any more. */
  isIdle(bounds: TeamBounds, now: number, liveVms: number): boolean {
    this.updateToNow(bounds, now, liveVms);
    return this.shares.size === 0 && this.fleetBucket.isFull();
  }

  /** Brings the count of spent tokens up to now. */
  private updateToNow(bounds: TeamBounds, now: number, liveVms: number): void {
    const ungrantedVms = liveVms - this.shares.size;
    const expectedRate = [...this.shares.values()].reduce(
      (sum, share) => sum + estimateUsage(share),
      0,
    );
    const reserve = computeReserve(bounds.requestsPerSecond, ungrantedVms, liveVms);
    this.fleetBucket.refill(bounds.requestsPerSecond - reserve - expectedRate, bounds.burst, now);
    this.expire(now);
  }

  /** Rate and slots to be divided, without the part of VMs that do not ask. */
  private computeAvailable(bounds: TeamBounds, liveVms: number): Portion {
    const ungrantedVms = liveVms - this.shares.size;
    const withoutReserve = (limit: number): number =>
      limit - computeReserve(limit, ungrantedVms, liveVms);
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
      requestsPerSecond: computePortion(requestsPerSecond, share.demandPerSecond, demand, vmCount),
      // Rounded up, because a share below 1 would refuse every request of a small team.
      concurrency: Math.ceil(computePortion(concurrency, share.wantedInFlight, wanted, vmCount)),
    };
  }

  /** Without knowledge of all grants in force, none grows beyond the fallback share. */
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

  /** Grants what other grants in force leave. */
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

  /** Corrects the expected use of a VM by the reported one; advanced tokens were counted before. */
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

  /** Hands out tokens that the whole fleet has left. */
  private advanceTokens(
    share: Share,
    requestedTokens: number,
    bounds: TeamBounds,
    liveVms: number,
  ): number {
    // VMs that do not ask have full buckets. A VM with a small one reports each request.
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
