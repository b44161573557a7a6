/** Holder's side: token bucket and concurrency count of one team on one entry VM. */

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

/** A slot becomes free when some request ends, which can't be predicted. */
const CONCURRENCY_RETRY_MS = 1000;

const MAX_RETRY_MS = 60_000;

const NEAR_BOUNDS = 0.75;

/** Weight of the newest interval in the demand. */
const DEMAND_SMOOTHING = 0.5;

/** Decides on each request without a call; bounds come from a grant or from the fallback. */
export class GrantHolder {
  private tokens: number;

  private refilledAt: number;

  private running = 0;

  private attempts = 0;

  /** Requests refused for concurrency since the last `takeWanted`. */
  private refused = 0;

  private measuredAt: number;

  private demandRate = 0;

  private lastAttemptAt: number;

  private expiresAt = -Infinity;

  constructor(
    private bounds: HeldBounds,
    now: number,
  ) {
    this.tokens = Math.max(1, bounds.burst);
    this.refilledAt = now;
    this.measuredAt = now;
    this.lastAttemptAt = now;
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

  admit(now: number): Decision {
    this.attempts += 1;
    this.lastAttemptAt = now;
    this.refill(now);
    if (this.running >= this.bounds.concurrency) {
      this.refused += 1;
      return { admission: Admission.ConcurrencyExceeded, retryAfterMs: CONCURRENCY_RETRY_MS };
    }
    if (this.tokens < 1) {
      const missing = (1 - this.tokens) / Math.max(1e-9, this.bounds.requestsPerSecond);
      const retryAfterMs = Math.min(MAX_RETRY_MS, Math.ceil(missing * 1000));
      return { admission: Admission.RateExceeded, retryAfterMs };
    }
    this.tokens -= 1;
    this.running += 1;
    return { admission: Admission.Admitted, retryAfterMs: 0 };
  }

  release(): void {
    this.running = Math.max(0, this.running - 1);
  }

  /** Requests per second that callers sent recently, refused ones included. */
  measureDemand(now: number): number {
    const elapsed = now - this.measuredAt;
    if (elapsed <= 0) return this.demandRate;
    const rate = (this.attempts * 1000) / elapsed;
    this.demandRate += DEMAND_SMOOTHING * (rate - this.demandRate);
    this.attempts = 0;
    this.measuredAt = now;
    return this.demandRate;
  }

  /** Requests in progress and those refused since the last call. */
  takeWanted(): number {
    const wanted = this.running + this.refused;
    this.refused = 0;
    return wanted;
  }

  /** True when most of the bounds is in use, so that more should be asked for in time. */
  isNearBounds(): boolean {
    return (
      this.running >= NEAR_BOUNDS * this.bounds.concurrency ||
      this.tokens <= (1 - NEAR_BOUNDS) * this.capacity()
    );
  }

  /** Time since the last request, or 0 while one is in progress. */
  idleFor(now: number): number {
    return this.running > 0 ? 0 : now - this.lastAttemptAt;
  }

  private capacity(): number {
    // A bucket that holds less than one token would never admit anything.
    return Math.max(1, this.bounds.burst);
  }

  private refill(now: number): void {
    const gained = ((now - this.refilledAt) / 1000) * this.bounds.requestsPerSecond;
    this.tokens = Math.min(this.capacity(), this.tokens + gained);
    this.refilledAt = now;
  }
}
