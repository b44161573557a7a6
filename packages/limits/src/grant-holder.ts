/** Holder's side: token bucket and concurrency count of one team on one entry VM. */
import { DemandMeter } from './demand-meter.js';
import type { UngrantedUsage } from './ungranted-usage.js';

export interface HeldBounds {
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
}

export enum Admission {
  Admitted = 'admitted',
  RateExceeded = 'rate-exceeded',
  ConcurrencyExceeded = 'concurrency-exceeded',
}

export interface Decision {
  admission: Admission;
  /** Time after which a retry may succeed; 0 when admitted. */
  retryAfterMs: number;
}

/** What the owner is told about the use of a team's limits. */
export interface UsageReport {
  demandPerSecond: number;
  inFlight: number;
  wantedInFlight: number;
  admitted: number;
  wantedTokens: number;
  heldPerSecond: number;
  heldConcurrency: number;
}

/** A slot becomes free when some request ends, which can't be predicted. */
const CONCURRENCY_RETRY_MS = 1000;

const MAX_RETRY_MS = 60_000;

const NEAR_LIMIT_RATIO = 0.75;

const BELOW_FALLBACK_RATIO = 0.9;
const MIN_RATE_FOR_EARLY_RENEWAL = 1;

/** Buckets below this size are near their bounds after each request. */
const SMALL_BUCKET_TOKENS = 4;

/** Chance of a request during the refill above which a small bucket is refilled by the owner. */
const EARLY_REQUEST_CHANCE = 0.2;

/** A lower rate does not use a grant before it ends. */
const MIN_GRANTED_RATE = 0.2;

/** Demand that falls below this part of the reported one, and by this rate, is reported at once. */
const DEMAND_DROP_RATIO = 0.5;
const MIN_DEMAND_DROP_PER_SECOND = 1;

/** Decides on each request without a call; bounds come from a grant or from the fallback. */
export class GrantHolder {
  private tokens: number;

  private refilledAt: number;

  private running = 0;

  /** Requests refused for concurrency since the last report. */
  private refused = 0;

  /** Requests admitted in all; a total survives lost reports. */
  private admitted = 0;

  private readonly demand: DemandMeter;

  private reportedDemand = 0;

  private reportedAt = -Infinity;

  private lastRequestAt: number;

  private expiresAt = -Infinity;

  constructor(
    private bounds: HeldBounds,
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

  /** True while a grant of the owner is in force. */
  isGranted(now: number): boolean {
    return now < this.expiresAt;
  }

  /** Puts bounds into force; without validity they are the fallback. */
  setBounds(bounds: HeldBounds, now: number, validMs?: number): void {
    this.refill(now);
    this.bounds = bounds;
    this.tokens = Math.min(this.tokens, this.capacity());
    if (validMs !== undefined) this.expiresAt = now + validMs;
  }

  /** Adds tokens that the owner has handed out beside the rate. */
  addTokens(count: number, now: number): void {
    this.refill(now);
    this.tokens = Math.min(this.capacity(), this.tokens + count);
  }

  admit(now: number): Decision {
    this.demand.record(now);
    this.lastRequestAt = now;
    this.refill(now);
    if (this.running >= this.bounds.concurrency) {
      this.refused += 1;
      return { admission: Admission.ConcurrencyExceeded, retryAfterMs: CONCURRENCY_RETRY_MS };
    }
    if (this.tokens < 1) {
      const retryAfterMs = Math.min(MAX_RETRY_MS, Math.ceil(this.secondsUntilToken() * 1000));
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

  /** What to tell the owner. */
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

  /** True when the use is more than what owners keep back for VMs without a grant. */
  needsGrant(ungranted: UngrantedUsage, now: number): boolean {
    if (this.running > ungranted.concurrency) return true;
    // Without a request since the last report the share is left to others.
    if (this.lastRequestAt < this.reportedAt) return false;
    const rate = this.demand.ratePerSecond(now);
    return rate > ungranted.requestsPerSecond && rate >= MIN_GRANTED_RATE;
  }

  /** True when most of the bounds is in use, so that more should be asked for in time. */
  isNearLimit(now: number): boolean {
    if (this.running >= NEAR_LIMIT_RATIO * this.bounds.concurrency) return true;
    if (this.capacity() >= SMALL_BUCKET_TOKENS) {
      return this.tokens <= (1 - NEAR_LIMIT_RATIO) * this.capacity();
    }
    const expected = this.demand.ratePerSecond(now) * this.secondsUntilToken();
    return this.tokens < 1 && expected > EARLY_REQUEST_CHANCE;
  }

  /** True when much of the grant is no longer used and others could have it. */
  hasDemandDropped(fallback: HeldBounds, now: number): boolean {
    if (this.bounds.requestsPerSecond <= fallback.requestsPerSecond) return false;
    const rate = this.demand.ratePerSecond(now);
    return (
      rate < DEMAND_DROP_RATIO * this.reportedDemand &&
      rate <= this.reportedDemand - MIN_DEMAND_DROP_PER_SECOND
    );
  }

  /** True when the bounds are clearly below the fallback and a team that sends often needs them. */
  isBelowFallback(fallback: HeldBounds, now: number): boolean {
    if (this.demand.ratePerSecond(now) < MIN_RATE_FOR_EARLY_RENEWAL) return false;
    return (
      this.bounds.requestsPerSecond < BELOW_FALLBACK_RATIO * fallback.requestsPerSecond ||
      this.bounds.concurrency < BELOW_FALLBACK_RATIO * fallback.concurrency
    );
  }

  /** Time since the last request, or 0 while one is in progress. */
  idleTimeMs(now: number): number {
    return this.running > 0 ? 0 : now - this.lastRequestAt;
  }

  /** True when a new holder would admit as much. */
  isBucketFull(now: number): boolean {
    this.refill(now);
    return this.tokens >= this.capacity();
  }

  private secondsUntilToken(): number {
    return (1 - this.tokens) / Math.max(1e-9, this.bounds.requestsPerSecond);
  }

  private capacity(): number {
    // A bucket that holds less than one token would never admit anything.
    return Math.max(1, this.bounds.burst);
  }

  private refill(now: number): void {
    const refilled = ((now - this.refilledAt) / 1000) * this.bounds.requestsPerSecond;
    this.tokens = Math.min(this.capacity(), this.tokens + refilled);
    this.refilledAt = now;
  }
}
