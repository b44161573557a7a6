/** VM side: counts the requests of one team on this VM and admits them within the share of the VM. */
import type { TeamShare, UsageTotals } from './team-account.js';
import type { TeamQuota } from './team-quota.js';

/** A VM whose reports are not answered for this time uses its equal share. */
const OWNER_TIMEOUT_MS = 1000;

/**
 * An answer is expected within this time, also if one message was lost. Without it, the VM gets no spare
 * requests; in a team with few requests per VM, those of all VMs would exceed the window rule.
 */
const ANSWER_EXPECTED_MS = 250;

/** A share that has not been renewed for this time is not known to hold any more. */
const SHARE_VALID_MS = 10_000;

/**
 * The allowance of a share that is older is not used, because the owner has granted the same tokens to
 * other VMs since.
 */
const ALLOWANCE_VALID_MS = 2000;

/** Unconfirmed requests that a VM may have in addition to its allowance. */
const SPARE_REQUESTS = 2;

/** Unconfirmed requests of a VM without a recent share. */
const FIRST_REQUESTS = 4;

/** Time for which a fraction from a substitute holds; the next owner is known by then. */
const SUBSTITUTE_VALID_MS = 1500;

/** Interval of reports while tokens are short, so that the owner soon learns of less demand. */
const SHORT_REPORT_INTERVAL_MS = 40;

/** Bounds of the retry delay of refused requests. */
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 3000;

/** Minimum time between log lines about refusals of one team. */
const LOG_INTERVAL_MS = 1000;

/**
 * A request that is refused later than this after its admission keeps its token. Few requests wait longer
 * for a worker, and a token that comes back later could be used in another window.
 */
const RETURN_VALID_MS = 1000;

const MS_PER_SECOND = 1000;

export enum UsageDecision {
  Admitted = 'admitted',
  /** The share of the VM is used up. */
  Share = 'share',
  /** The owner does not answer, and the equal share of the VM is used up. */
  EqualShare = 'equal-share',
}

export class TeamUsage {
  private admitted = 0;

  private firstRequests = FIRST_REQUESTS;

  private confirmed = 0;

  private refused = 0;

  private returned = 0;

  private loggedRefused = 0;

  private loggedAt = -Infinity;

  private share: (TeamShare & { receivedAt: number }) | undefined;

  /** Fraction of a request that the share has left over from earlier ones. */
  private credit: number;

  /** Time of the first report since the last answer. */
  private unansweredSince: number | undefined;

  private ownerId: string | undefined;

  /** What the VM that takes over from a lost owner has announced. */
  private substitute = { fraction: 1, receivedAt: -Infinity };

  private equalShare: { tokens: number; refilledAt: number } | undefined;

  /** Time of the first request that has not been reported. */
  unreportedSince: number | undefined;

  reportedAt = -Infinity;

  /** @param initialCredit is random, so that VMs with few requests do not all refuse the first. */
  constructor(
    initialCredit: number,
    /** Time of the last request. */
    public usedAt: number,
  ) {
    this.credit = initialCredit;
  }

  /**
   * @param firstRequests is the number of unconfirmed requests that a VM without a share may have.
   * @param cutOffSince is the time since which this VM seems to be cut off from all others.
   */
  decide(
    equalShare: TeamQuota,
    now: number,
    firstRequests = FIRST_REQUESTS,
    cutOffSince?: number,
  ): UsageDecision {
    this.firstRequests = Math.max(FIRST_REQUESTS, firstRequests);
    this.usedAt = now;
    this.unreportedSince ??= now;
    const decision = this.choose(equalShare, cutOffSince, now);
    if (decision === UsageDecision.Admitted) this.admitted += 1;
    else this.refused += 1;
    return decision;
  }

  /** Returns the token of an admitted request that was not sent; false if it comes too late. */
  returnToken(admittedAt: number, now: number): boolean {
    if (now - admittedAt > RETURN_VALID_MS || this.returned >= this.admitted) return false;
    this.returned += 1;
    this.unreportedSince ??= now;
    return true;
  }

  private choose(
    equalShare: TeamQuota,
    cutOffSince: number | undefined,
    now: number,
  ): UsageDecision {
    if (this.isOwnerSilent(now)) {
      return this.decideByEqualShare(equalShare, this.unansweredSince!, now);
    }
    const decision = this.decideByShare(now);
    // Until the owner is known to be silent, the VM keeps to both shares.
    if (cutOffSince === undefined || decision !== UsageDecision.Admitted) return decision;
    return this.decideByEqualShare(equalShare, cutOffSince, now);
  }

  /** True if a report should not wait, because the VM has no share or has used much of it. */
  isUrgent(now: number): boolean {
    if (this.unansweredSince !== undefined) return false;
    const unconfirmed = this.admitted - this.confirmed;
    if (!this.isShareValid(now) || unconfirmed * 2 > this.maxUnconfirmed(now)) return true;
    return this.share!.fraction < 1 && now - this.reportedAt >= SHORT_REPORT_INTERVAL_MS;
  }

  /** True if the last report has not been answered. */
  get isUnanswered(): boolean {
    return this.unansweredSince !== undefined;
  }

  /** True if reports have not been answered for so long that the VM uses its equal share. */
  isOwnerSilent(now: number): boolean {
    return this.unansweredSince !== undefined && now - this.unansweredSince >= OWNER_TIMEOUT_MS;
  }

  get totals(): UsageTotals {
    const { admitted, confirmed, refused, returned } = this;
    return { admitted, confirmed, refused, returned };
  }

  /** True if an answer is missing that would have arrived even if one message was lost. */
  isAnswerLate(now: number): boolean {
    return this.unansweredSince !== undefined && now - this.unansweredSince >= ANSWER_EXPECTED_MS;
  }

  /** The owner whose answer is late, and the time of the report. */
  findLate(now: number): { ownerId: string; since: number } | undefined {
    if (!this.isAnswerLate(now)) return undefined;
    return { ownerId: this.ownerId!, since: this.unansweredSince! };
  }

  recordReport(ownerId: string, now: number): void {
    if (ownerId !== this.ownerId) this.unansweredSince = undefined;
    this.ownerId = ownerId;
    this.unansweredSince ??= now;
    this.unreportedSince = undefined;
    this.reportedAt = now;
  }

  /** Makes the next report due if the usage has not been reported to this owner. */
  reportTo(ownerId: string, now: number): boolean {
    if (ownerId === this.ownerId || this.admitted === 0) return false;
    this.unreportedSince ??= now - ANSWER_EXPECTED_MS;
    return true;
  }

  /** Applies a share; one without an answered report does not show that reports arrive. */
  receive(
    ownerId: string,
    share: TeamShare,
    { isAnswer, isYoung }: { isAnswer: boolean; isYoung: boolean },
    now: number,
  ): void {
    if (this.ownerId !== undefined && ownerId !== this.ownerId) {
      // Each VM that starts may become the owner, and shares of the one before it may still arrive.
      if (!isYoung) this.receiveFromSubstitute(share, now);
      return;
    }
    this.share = { ...share, receivedAt: now };
    if (!isAnswer) return;
    this.confirmed = Math.max(this.confirmed, share.confirmed);
    this.unansweredSince = undefined;
  }

  /** Time after which a refused request is likely to be admitted. */
  retryAfterMs(now: number): number {
    const fraction = this.readFraction(now);
    return Math.min(MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS / Math.max(fraction, 1e-9));
  }

  /** Inputs of the decision and refusals since the last line, for at most one log line per second. */
  takeLogEntry(now: number) {
    if (now - this.loggedAt < LOG_INTERVAL_MS) return undefined;
    const { admitted, confirmed, share } = this;
    const refusedSinceLog = this.refused - this.loggedRefused;
    this.loggedAt = now;
    this.loggedRefused = this.refused;
    return {
      refused: refusedSinceLog,
      unconfirmed: admitted - confirmed,
      fraction: share?.fraction,
      allowance: share?.allowance,
      shareAgeMs: share && Math.round(now - share.receivedAt),
    };
  }

  /** Applies a lower fraction for a while; the substitute does not know earlier usage. */
  private receiveFromSubstitute({ fraction }: TeamShare, now: number): void {
    this.substitute = { fraction, receivedAt: now };
  }

  /** Fraction of the requests that are admitted. */
  readFraction(now: number): number {
    const own = this.isShareValid(now) ? this.share!.fraction : 1;
    const { fraction, receivedAt } = this.substitute;
    return now - receivedAt < SUBSTITUTE_VALID_MS ? Math.min(own, fraction) : own;
  }

  private decideByShare(now: number): UsageDecision {
    if (this.admitted - this.confirmed >= this.maxUnconfirmed(now)) return UsageDecision.Share;
    const fraction = this.readFraction(now);
    if (fraction >= 1) return UsageDecision.Admitted;
    this.credit += fraction;
    if (this.credit < 1) return UsageDecision.Share;
    this.credit -= 1;
    return UsageDecision.Admitted;
  }

  private decideByEqualShare(
    { rate, depth, start }: TeamQuota,
    silentSince: number,
    now: number,
  ): UsageDecision {
    const { tokens, refilledAt } = this.equalShare ?? { tokens: start, refilledAt: now };
    const refilled = tokens + (rate * (now - refilledAt)) / MS_PER_SECOND;
    // Usage before the owner fell silent is not known here, so a new phase starts with few tokens.
    const isNewPhase = refilledAt < silentSince;
    const available = Math.min(isNewPhase ? start : depth, refilled);
    const isAdmitted = available >= 1;
    this.equalShare = { tokens: available - (isAdmitted ? 1 : 0), refilledAt: now };
    return isAdmitted ? UsageDecision.Admitted : UsageDecision.EqualShare;
  }

  private isShareValid(now: number): boolean {
    return this.share !== undefined && now - this.share.receivedAt < SHARE_VALID_MS;
  }

  /** Returns the number of unconfirmed requests that the VM may have. */
  private maxUnconfirmed(now: number): number {
    const unansweredMs = this.unansweredSince === undefined ? 0 : now - this.unansweredSince;
    const isAnswerLate = this.isAnswerLate(now);
    const ageMs = now - (this.share?.receivedAt ?? -Infinity);
    if (ageMs > ALLOWANCE_VALID_MS + unansweredMs) return isAnswerLate ? 0 : this.firstRequests;
    const { allowance, allowancePerSecond } = this.share!;
    const grown = (allowancePerSecond * unansweredMs) / MS_PER_SECOND;
    return (isAnswerLate ? 0 : SPARE_REQUESTS) + allowance + grown;
  }
}
