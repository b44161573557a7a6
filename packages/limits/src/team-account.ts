/** Owner side: accounts for the usage of one team on all entry VMs and computes their shares. */
import { DecayingRate } from './decaying-rate.js';
import type { TeamQuota } from './team-quota.js';

/** Usage of a team on one VM. All counts are totals, so that the next report replaces a lost one. */
export interface UsageTotals {
  admitted: number;
  /** Part of `admitted` that an owner has confirmed. */
  confirmed: number;
  refused: number;
  /** Part of `admitted` that was not sent to a worker, and whose tokens were returned soon after. */
  returned?: number;
}

/** Share of a VM. It holds until the next one arrives. */
export interface TeamShare {
  /** Part of `admitted` that the owner has accounted for. */
  confirmed: number;
  /** Fraction of the requests to admit; 1 while there are enough tokens. */
  fraction: number;
  /** Unconfirmed requests that the VM may have, and their growth while no share arrives. */
  allowance: number;
  allowancePerSecond: number;
}

interface VmUsage {
  run: number;
  sequence: number;
  admitted: number;
  refused: number;
  returned: number;
  /** Requests whose tokens may be returned, because the depth has bounded the tokens for none of them. */
  returnable: number;
  demand: DecayingRate;
  reportedAt: number;
}

/** Time from a change of the demand to its effect on all VMs: report interval and two message delays. */
const REACTION_SECONDS = 0.3;

/** Missing or surplus tokens are compensated over this time. */
const CORRECTION_SECONDS = 0.7;

/**
 * These tokens are held back, so that some are left when the demand has ended, but at most this part of
 * the depth. Otherwise a team far above its limit would get nothing.
 */
const MAX_HELD_BACK = 0.7;

/** Requests over which the demand is measured, within the bounds of the period. */
const DEMAND_REQUESTS = 4;
const MIN_DEMAND_PERIOD_MS = 150;
const MAX_DEMAND_PERIOD_MS = 1000;

/**
 * Time within which the VMs of a starting fleet report all their usage to a new owner, and the first part of
 * it, in which the owner does not answer. Earlier answers would grant tokens that other VMs have used.
 */
const REPORT_AGAIN_MS = 150;
const GATHER_MS = 60;

/** Tokens are not returned by a report that comes this long after the one before it. */
const RETURN_INTERVAL_MS = 1500;

/** Usage of a VM without reports for this time is forgotten. */
const FORGET_AFTER_MS = 30_000;

const MS_PER_SECOND = 1000;

const KNOWN_FLEET = { isFleetYoung: false, fraction: 1 };

export class TeamAccount {
  private readonly vms = new Map<string, VmUsage>();

  private readonly demand = new DecayingRate();

  /** Sum of the demand of all VMs, measured over the same period as that of a VM. */
  private readonly totalDemand = new DecayingRate();

  private demandPeriodMs = MIN_DEMAND_PERIOD_MS;

  private reportedAt: number;

  /** Time at which the depth has bounded the tokens. */
  private boundedAt = -Infinity;

  /** Time from which the depth bounds the tokens; before, not all usage since the restart is known. */
  private completeAt = -Infinity;

  /** Fraction of an earlier owner, which holds until all usage is known. */
  private inherited = 1;

  /** Start of the oldest run, if the account includes all usage since a restart of the fleet. */
  private youngSince: number | undefined;

  constructor(
    private quota: TeamQuota,
    /** Negative while requests beyond the limit are compensated. */
    private tokens: number,
    private refilledAt: number,
  ) {
    this.reportedAt = refilledAt;
  }

  /** Applies the quota of the present configuration and fleet. */
  update(quota: TeamQuota, now: number): void {
    const refilled = (this.quota.rate * (now - this.refilledAt)) / MS_PER_SECOND;
    const tokens = this.tokens + refilled;
    if (tokens > quota.depth && now >= this.completeAt) {
      this.tokens = quota.depth;
      this.boundedAt = now;
    } else {
      this.tokens = tokens;
    }
    this.refilledAt = now;
    this.quota = quota;
    const periodMs = (DEMAND_REQUESTS * MS_PER_SECOND) / Math.max(quota.rate, 1e-9);
    this.demandPeriodMs = Math.max(MIN_DEMAND_PERIOD_MS, Math.min(MAX_DEMAND_PERIOD_MS, periodMs));
  }

  /** True while an answer would rely on the usage of a few VMs only. */
  isGathering(now: number): boolean {
    return now < this.completeAt - REPORT_AGAIN_MS + GATHER_MS;
  }

  get isYoung(): boolean {
    return this.youngSince !== undefined;
  }

  /**
   * Grants tokens since the start of the oldest run of a young fleet, less all usage of its runs. If an older
   * run is heard of later, it adds the tokens since then.
   */
  restart(youngSince: number, now: number): void {
    const { youngStart, rate } = this.quota;
    if (this.youngSince === undefined) {
      let used = 0;
      this.vms.forEach(({ admitted, returned }) => {
        used += admitted - returned;
      });
      this.tokens = youngStart - used;
      this.refilledAt = now;
      this.youngSince = now;
      this.completeAt = now + REPORT_AGAIN_MS;
    }
    if (youngSince >= this.youngSince) return;
    this.tokens += (rate * (this.youngSince - youngSince)) / MS_PER_SECOND;
    this.youngSince = youngSince;
  }

  /** Accounts for a report; returns false for one that is older than the last. */
  record(
    { from, run, sequence }: { from: string; run: number; sequence: number },
    { admitted, confirmed, refused, returned = 0 }: UsageTotals,
    now: number,
    { isFleetYoung, fraction }: { isFleetYoung: boolean; fraction: number } = KNOWN_FLEET,
  ): boolean {
    const known = this.vms.get(from);
    const isSameRun = known?.run === run && known.admitted <= admitted;
    if (known?.run === run && sequence <= known.sequence) return false;
    // Earlier owners have confirmed a part, but this account begins with the restart of the fleet.
    const isCounted = isFleetYoung && this.isYoung;
    const counted = isCounted ? 0 : confirmed;
    const newAdmitted = admitted - (isSameRun ? known.admitted : counted);
    const newRefused = isSameRun ? Math.max(0, refused - known.refused) : 0;
    const demand = known?.demand ?? new DecayingRate();
    const returnable = newAdmitted + this.countReturnable(isSameRun ? known : undefined, now);
    // Returns to an earlier owner are not counted again.
    const earlierReturned = isCounted ? 0 : returned;
    const newReturned = returned - (isSameRun ? known.returned : earlierReturned);
    const credited = Math.max(0, Math.min(newReturned, returnable));
    this.tokens -= newAdmitted - credited;
    if (now >= this.completeAt) this.tokens = Math.min(this.quota.depth, this.tokens);
    // What an earlier owner has confirmed is no recent demand.
    const recent = newAdmitted - (isCounted && !isSameRun ? confirmed : 0) + newRefused;
    this.demand.add(recent, now, this.demandPeriodMs);
    demand.add(recent, now, MAX_DEMAND_PERIOD_MS);
    this.totalDemand.add(recent, now, MAX_DEMAND_PERIOD_MS);
    if (now < this.completeAt) this.inherited = Math.min(this.inherited, fraction);
    this.vms.set(from, {
      ...{ run, sequence, admitted, refused, returned, demand },
      ...{ returnable: returnable - credited, reportedAt: now },
    });
    this.reportedAt = now;
    return true;
  }

  /**
   * With its token returned, the account is as if the request had never been admitted, but only if the depth
   * has not bounded the tokens since.
   */
  private countReturnable(known: VmUsage | undefined, now: number): number {
    if (known === undefined || this.boundedAt > known.reportedAt) return 0;
    return now - known.reportedAt > RETURN_INTERVAL_MS ? 0 : known.returnable;
  }

  /** Fraction of the team's requests to admit on all VMs. */
  fraction(now: number): number {
    const fraction = this.computeFraction(now);
    return now < this.completeAt ? Math.min(fraction, this.inherited) : fraction;
  }

  private computeFraction(now: number): number {
    const { rate, depth } = this.quota;
    const demand = this.demand.perSecond(now, this.demandPeriodMs);
    // Tokens that are used before the VMs learn of a lower fraction.
    const needed = 1 + Math.max(0, demand - rate) * REACTION_SECONDS;
    if (this.tokens >= needed) return 1;
    const heldBack = Math.min(needed, MAX_HELD_BACK * depth);
    const allowed = rate + (this.tokens - heldBack) / CORRECTION_SECONDS;
    return Math.max(0, Math.min(1, allowed / Math.max(demand, 1e-9)));
  }

  /** Inputs of the decision, for the log. */
  describe(now: number) {
    return {
      tokens: this.tokens,
      rate: this.quota.rate,
      demand: this.demand.perSecond(now, this.demandPeriodMs),
      reportAgeMs: Math.round(now - this.reportedAt),
    };
  }

  shareOf(entryVmId: string, now: number): TeamShare {
    const usage = this.vms.get(entryVmId);
    // Tokens of an account that may not include all usage are not granted in advance.
    const free = now < this.completeAt ? Math.min(this.tokens, this.quota.start) : this.tokens;
    const total = this.totalDemand.perSecond(now, MAX_DEMAND_PERIOD_MS);
    const own = usage?.demand.perSecond(now, MAX_DEMAND_PERIOD_MS) ?? 0;
    // The demand of one VM varies, so only half of the tokens are divided by demand.
    const weight = (1 / Math.max(1, this.vms.size) + own / Math.max(total, 1e-9)) / 2;
    return {
      confirmed: usage?.admitted ?? 0,
      fraction: this.fraction(now),
      allowance: weight * Math.max(0, free),
      allowancePerSecond: weight * this.quota.rate,
    };
  }

  /** Forgets VMs without recent reports, and returns whether the account is no longer needed. */
  prune(now: number): boolean {
    for (const [entryVmId, { reportedAt }] of this.vms) {
      if (now - reportedAt > FORGET_AFTER_MS) this.vms.delete(entryVmId);
    }
    return now - this.reportedAt > FORGET_AFTER_MS && this.tokens >= this.quota.depth;
  }
}
