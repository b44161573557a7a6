/** Owner's side: division of a team's limits among the entry VMs that ask for a share. */
import { SpentTokens } from './spent-tokens.js';
import { keepBack } from './quiet-use.js';

/** Time for which a grant holds; two renewals may be lost. */
export const GRANT_VALID_MS = 5000;

/** A VM is asked to give back at most this often. */
const RECALL_INTERVAL_MS = 250;

/** A grant this far below its part makes the owner recall those as far above theirs. */
const SHORT_FACTOR = 0.75;
const AMPLE_FACTOR = 1.25;

/** Requests beyond the limit are made up for by lower grants over this time. */
const REPAY_SECONDS = 2;

/** Tokens of a VM below which it reports each request. */
const SMALL_BURST = 2;

/** Part of the burst that is not handed out, because use is known late. */
const MARGIN = 0.35;

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
  credit: number;
  askedAt: number;
  expiresAt: number;
  recalledAt: number;
}

export interface Asked {
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

export interface Granted extends TeamBounds {
  validMs: number;
  /** Tokens to be put into the bucket at once. */
  advance: number;
}

/** State of the fleet and of the owner at a grant. */
export interface DivisionState {
  /** Entry VMs that could ask. */
  liveVms: number;
  /** Grants of a former owner may be in force. */
  isRecovering: boolean;
}

interface Parts {
  requestsPerSecond: number;
  concurrency: number;
}

/**
 * Share of a limit by demand. Without shortage each VM gets an equal part of the rest on top; parts
 * of VMs that do not ask are kept back, because callers may turn to any of them at any moment.
 */
const divide = (limit: number, demand: number, total: number, parts: number): number => {
  if (total <= limit) return demand + (limit - total) / parts;
  return (limit * demand) / total;
};

/** Rate at which a VM probably admits requests until its next report. */
const expectUse = (share: Share): number =>
  Math.min(share.demandPerSecond, share.requestsPerSecond);

const createShare = (asked: Asked, known: Share | undefined, now: number): Share => {
  const { bootId = '', sequence, demandPerSecond, inFlight, admitted = 0 } = asked;
  return {
    ...{ bootId, demandPerSecond, inFlight, admitted },
    // Without sequences each request counts as newer.
    sequence: sequence ?? (known?.sequence ?? 0) + 1,
    wantedInFlight: asked.wantedInFlight ?? inFlight,
    ...{ credit: known?.credit ?? 0, recalledAt: known?.recalledAt ?? -Infinity },
    ...{ requestsPerSecond: 0, burst: 0, concurrency: 0 },
    ...{ askedAt: now, expiresAt: now + GRANT_VALID_MS },
  };
};

/** Grants of one team. The sum of grants that have not expired never exceeds the limits. */
export class GrantDivision {
  private readonly shares = new Map<string, Share>();

  private readonly spent = new SpentTokens();

  /** Returns undefined for a message that arrives after a newer one, or twice. */
  grant(
    asked: Asked,
    bounds: TeamBounds,
    now: number,
    { liveVms, isRecovering }: DivisionState = { liveVms: 1, isRecovering: false },
  ): Granted | undefined {
    this.account(bounds, now, liveVms);
    const known = this.shares.get(asked.entryVmId);
    const share = createShare(asked, known, now);
    const isSameRun = known?.bootId === share.bootId;
    if (isSameRun && share.sequence <= known.sequence) return undefined;
    this.shares.set(asked.entryVmId, share);
    const wantedTokens = asked.wantedTokens ?? 0;
    // What a VM without a share has used is what its bucket lacks.
    if (isSameRun) this.settle(share, known, now, bounds);
    else this.spent.take(wantedTokens);
    const available = this.findAvailable(bounds, liveVms);
    const parts = this.findParts(share, available, liveVms);
    const limits = isRecovering ? this.limitToHeld(asked, bounds, parts, liveVms) : parts;
    this.assign(share, limits, available, bounds);
    const advance = isRecovering ? 0 : this.advance(share, wantedTokens, bounds, liveVms);
    const { requestsPerSecond, burst, concurrency } = share;
    // Requests admitted under an earlier, larger grant still run.
    share.concurrency = Math.max(concurrency, share.inFlight);
    return { requestsPerSecond, burst, concurrency, advance, validMs: GRANT_VALID_MS };
  }

  /** VMs that hold more than their part while `entryVmId` lacks some of its own. */
  recall(entryVmId: string, bounds: TeamBounds, now: number, liveVms: number): string[] {
    const short = this.shares.get(entryVmId);
    if (short === undefined) return [];
    const available = this.findAvailable(bounds, liveVms);
    const part = this.findParts(short, available, liveVms);
    const lacksRate = short.requestsPerSecond < SHORT_FACTOR * part.requestsPerSecond;
    const lacksSlots = short.concurrency < SHORT_FACTOR * part.concurrency;
    if (!lacksRate && !lacksSlots) return [];
    const recalled = [...this.shares].filter(([id, share]) => {
      if (id === entryVmId || now - share.recalledAt < RECALL_INTERVAL_MS) return false;
      const own = this.findParts(share, available, liveVms);
      const hasRate = share.requestsPerSecond > AMPLE_FACTOR * own.requestsPerSecond;
      // Slots of requests in progress can't be given back.
      const most = Math.max(AMPLE_FACTOR * own.concurrency, share.inFlight);
      // Demand that was reported long ago may have ended.
      const isOld = now - share.askedAt >= RECALL_INTERVAL_MS;
      return (lacksRate && (hasRate || isOld)) || (lacksSlots && share.concurrency > most);
    });
    return recalled.map(([id, share]) => {
      share.recalledAt = now;
      return id;
    });
  }

  /** True when no grant is in force and no earlier use counts any more. */
  isIdle(bounds: TeamBounds, now: number, liveVms: number): boolean {
    this.account(bounds, now, liveVms);
    return this.shares.size === 0 && this.spent.isFull();
  }

  /** Brings the count of spent tokens up to now. */
  private account(bounds: TeamBounds, now: number, liveVms: number): void {
    const quietVms = liveVms - this.shares.size;
    const used = [...this.shares.values()].reduce((sum, share) => sum + expectUse(share), 0);
    const kept = keepBack(bounds.requestsPerSecond, quietVms, liveVms);
    this.spent.refill(bounds.requestsPerSecond - kept - used, bounds.burst, now);
    this.expire(now);
  }

  /** Rate and slots to be divided, without the part of VMs that do not ask. */
  private findAvailable(bounds: TeamBounds, liveVms: number): Parts {
    const quietVms = liveVms - this.shares.size;
    const keep = (limit: number): number => limit - keepBack(limit, quietVms, liveVms);
    const repaid = this.spent.missing() / REPAY_SECONDS;
    return {
      requestsPerSecond: Math.max(0, keep(bounds.requestsPerSecond) - repaid),
      concurrency: keep(bounds.concurrency),
    };
  }

  private findParts(share: Share, available: Parts, liveVms: number): Parts {
    const shares = [...this.shares.values()];
    const sum = (pick: (share: Share) => number): number =>
      shares.reduce((total, each) => total + pick(each), 0);
    const parts = Math.max(liveVms, shares.length);
    const demand = sum((each) => each.demandPerSecond);
    const wanted = sum((each) => each.wantedInFlight);
    const { requestsPerSecond, concurrency } = available;
    return {
      requestsPerSecond: divide(requestsPerSecond, share.demandPerSecond, demand, parts),
      // Rounded up, because a share below 1 would refuse every request of a small team.
      concurrency: Math.ceil(divide(concurrency, share.wantedInFlight, wanted, parts)),
    };
  }

  /** Without knowledge of all grants in force, none grows beyond the fallback share. */
  private limitToHeld(asked: Asked, bounds: TeamBounds, parts: Parts, liveVms: number): Parts {
    const { heldPerSecond = 0, heldConcurrency = 0 } = asked;
    const fallback = Math.max(1, Math.floor(bounds.concurrency / liveVms));
    return {
      requestsPerSecond: Math.min(
        parts.requestsPerSecond,
        Math.max(heldPerSecond, bounds.requestsPerSecond / liveVms),
      ),
      concurrency: Math.min(parts.concurrency, Math.max(heldConcurrency, fallback)),
    };
  }

  /** Grants what other grants in force leave. */
  private assign(share: Share, parts: Parts, available: Parts, bounds: TeamBounds): void {
    let freeRate = available.requestsPerSecond;
    let freeSlots = Math.floor(available.concurrency);
    for (const other of this.shares.values()) {
      if (other === share) continue;
      freeRate -= other.requestsPerSecond;
      freeSlots -= other.concurrency;
    }
    share.requestsPerSecond = Math.max(0, Math.min(parts.requestsPerSecond, freeRate));
    share.concurrency = Math.max(0, Math.min(parts.concurrency, freeSlots));
    share.burst =
      (bounds.burst * share.requestsPerSecond) / Math.max(1e-9, bounds.requestsPerSecond);
  }

  /** Corrects the expected use of a VM by the reported one; advanced tokens were counted before. */
  private settle(share: Share, known: Share, now: number, { requestsPerSecond }: TeamBounds): void {
    const isCountedAnew = share.admitted < known.admitted;
    const admitted = share.admitted - (isCountedAnew ? 0 : known.admitted);
    const prepaid = Math.min(share.credit, admitted);
    share.credit -= prepaid;
    const sinceReport = (now - known.askedAt) / MS_PER_SECOND;
    const expected = expectUse(known) * sinceReport;
    this.spent.correct(admitted - prepaid - expected, sinceReport * requestsPerSecond);
  }

  /** Hands out tokens that the whole fleet has left. */
  private advance(share: Share, wanted: number, bounds: TeamBounds, liveVms: number): number {
    // VMs that do not ask have full buckets. A VM with a small one reports each request.
    const quietVms = Math.max(0, liveVms - this.shares.size);
    const burstOfVm = bounds.burst / liveVms;
    const kept = Math.max(
      MARGIN * bounds.burst,
      burstOfVm < SMALL_BURST ? 0 : burstOfVm * quietVms,
    );
    const advance = Math.max(0, Math.min(wanted, this.spent.left() - kept));
    this.spent.take(advance);
    share.credit += advance;
    return advance;
  }

  private expire(now: number): void {
    for (const [entryVmId, share] of this.shares) {
      if (share.expiresAt <= now) this.shares.delete(entryVmId);
    }
  }
}
