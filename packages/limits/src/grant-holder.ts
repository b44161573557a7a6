/** Holder side: token bucket and concurrency counter of one team on one entry VM. */
import { DemandMeter } from './demand-meter.js';
import type { UngrantedUsage } from './ungranted-usage.js';

/** Share of a team's limits on this VM: a grant or the fallback share. */
export interface ShareBounds {
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
}

export enum Admission {
  Admitted = 'admitted',
  RateExceeded = 'rate-exceeded',
  ConcurrencyExceeded = 'concurrency-exceeded',
}

export interface AdmissionDecision {
  admission: Admission;
  /** Time after which a retry may succeed; 0 when admitted. */
  retryAfterMs: number;
}

/** Usage of a team's limits on this VM, as reported to the owner. */
export interface UsageReport {
  demandPerSecond: number;
  inFlight: number;
  wantedInFlight: number;
  admitted: number;
  wantedTokens: number;
  heldPerSecond: number;
  heldConcurrency: number;
}

/** Fixed, because it cannot be predicted when a request ends and frees its slot. */
const CONCURRENCY_RETRY_AFTER_MS = 1000;

const MAX_RETRY_AFTER_MS = 60_000;

/** Usage above this fraction of the bounds counts as near the limit. */
const NEAR_LIMIT_RATIO = 0.75;

/** A grant below this fraction of the fallback is renewed early, if the rate reaches the minimum. */
const BELOW_FALLBACK_RATIO = 0.9;
const MIN_RATE_FOR_EARLY_RENEWAL = 1;

/** Buckets smaller than this would count as near the limit after each request. */
const SMALL_BUCKET_TOKENS = 4;

/**
 * A small bucket without a token counts as near the limit, so that a larger share is requested, if
 * more requests than this are expected until its next token.
 */
const EARLY_REFILL_THRESHOLD = 0.2;

/** Below this rate a grant would expire before it is used. */
const MIN_GRANTED_RATE = 0.2;

/** Demand is reported at once when it drops below this fraction and by at least this rate. */
const DEMAND_DROP_RATIO = 0.5;
const MIN_DEMAND_DROP_PER_SECOND = 1;

/** Admits or refuses requests locally; the bounds come from a grant or from the fallback share. */
export class GrantHolder {
  private tokens: number;

  private refilledAt: number;

  private running = 0;

  /** Requests refused because of the concurrency limit since the last report. */
  private refused = 0;

  /** Total of admitted requests; reporting a total makes up for lost reports. */
  private admitted = 0;

  private readonly demand: DemandMeter;

  private reportedDemand = 0;

  private reportedAt = -Infinity;

  private lastRequestAt: number;

  private expiresAt = -Infinity;

  constructor(
    private bounds: ShareBounds,
    now: number,
  ) {
    this.tokens = Math.max(1, bounds.burst);
    this.refilledAt = now;
    this.demand = new DemandMeter(now);
    this.lastRequestAt = now;
  }

  get inFlight(): number {
    return this.running;
  }

  /** True while a grant from the owner is valid. */
  isGranted(now: number): boolean {
    return now < this.expiresAt;
  }

  /** Applies new bounds; without `validMs` they are the fallback share and not a grant. */
  setBounds(bounds: ShareBounds, now: number, validMs?: number): void {
    this.refill(now);
    this.bounds = bounds;
    this.tokens = Math.min(this.tokens, this.capacity());
    if (validMs !== undefined) this.expiresAt = now + validMs;
  }

  /** Adds tokens that the owner advanced in addition to the rate. */
  addTokens(count: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.capacity(), this.tokens + count);
  }

  admit(now: number): AdmissionDecision {
    this.demand.record(now);
    this.lastRequestAt = now;
    this.refill(now);
    if (this.running >= this.bounds.concurrency) {
      this.refused += 1;
      return { admission: Admission.ConcurrencyExceeded, retryAfterMs: CONCURRENCY_RETRY_AFTER_MS };
    }
    if (this.tokens < 1) {
      const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.ceil(this.secondsUntilToken() * 1000));
      return { admission: Admission.RateExceeded, retryAfterMs };
    }
    this.tokens -= 1;
    this.running += 1;
    this.admitted += 1;
    return { admission: Admission.Admitted, retryAfterMs: 0 };
  }

  release(): void {
    this.running = Math.max(0, this.running - 1);
  }

  /** Returns the report for the owner and resets the counters that are kept per report. */
  takeReport(now: number): UsageReport {
    this.refill(now);
    const isGranted = this.isGranted(now);
    const wantedInFlight = this.running + this.refused;
    this.refused = 0;
    this.reportedAt = now;
    this.reportedDemand = this.demand.ratePerSecond(now);
    return {
      demandPerSecond: this.reportedDemand,
      inFlight: this.running,
      wantedInFlight,
      admitted: this.admitted,
      wantedTokens: this.capacity() - this.tokens,
      heldPerSecond: isGranted ? this.bounds.requestsPerSecond : 0,
      heldConcurrency: isGranted ? this.bounds.concurrency : 0,
    };
  }

  /** True if the usage exceeds what owners reserve for VMs without a grant. */
  needsGrant(ungranted: UngrantedUsage, now: number): boolean {
    if (this.running > ungranted.concurrency) return true;
    // Without a request since the last report the share remains available to other VMs.
    if (this.lastRequestAt < this.reportedAt) return false;
    const rate = this.demand.ratePerSecond(now);
    return rate > ungranted.requestsPerSecond && rate >= MIN_GRANTED_RATE;
  }

  /** True if most of the bounds is in use, so that a larger share should be requested in time. */
  isNearLimit(now: number): boolean {
    if (this.running >= NEAR_LIMIT_RATIO * this.bounds.concurrency) return true;
    if (this.capacity() >= SMALL_BUCKET_TOKENS) {
      return this.tokens <= (1 - NEAR_LIMIT_RATIO) * this.capacity();
    }
    const expected = this.demand.ratePerSecond(now) * this.secondsUntilToken();
    return this.tokens < 1 && expected > EARLY_REFILL_THRESHOLD;
  }

  /** True if much of the grant is no longer used and could be given to other VMs. */
  hasDemandDropped(fallback: ShareBounds, now: number): boolean {
    if (this.bounds.requestsPerSecond <= fallback.requestsPerSecond) return false;
    const rate = this.demand.ratePerSecond(now);
    return (
      rate < DEMAND_DROP_RATIO * this.reportedDemand &&
      rate <= this.reportedDemand - MIN_DEMAND_DROP_PER_SECOND
    );
  }

  /** True if the bounds are well below the fallback share and the team sends requests often. */
  isBelowFallback(fallback: ShareBounds, now: number): boolean {
    if (this.demand.ratePerSecond(now) < MIN_RATE_FOR_EARLY_RENEWAL) return false;
    return (
      this.bounds.requestsPerSecond < BELOW_FALLBACK_RATIO * fallback.requestsPerSecond ||
      this.bounds.concurrency < BELOW_FALLBACK_RATIO * fallback.concurrency
    );
  }

  /** Returns the time since the last request, or 0 while one is in progress. */
  idleTimeMs(now: number): number {
    return this.running > 0 ? 0 : now - this.lastRequestAt;
  }

  /** True if the bucket is full, so that a new holder would admit as many requests. */
  isBucketFull(now: number): boolean {
    this.refill(now);
    return this.tokens >= this.capacity();
  }

  private secondsUntilToken(): number {
    return (1 - this.tokens) / Math.max(1e-9, this.bounds.requestsPerSecond);
  }

  private capacity(): number {
    // A bucket with a capacity below one token would never admit a request.
    return Math.max(1, this.bounds.burst);
  }

  private refill(now: number): void {
    const refilled = ((now - this.refilledAt) / 1000) * this.bounds.requestsPerSecond;
    this.tokens = Math.min(this.capacity(), this.tokens + refilled);
    this.refilledAt = now;
  }
}
